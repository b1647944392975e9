#include "jobs/pending_operation.h"

namespace zincdyke {

std::optional<OperationKind> operation_kind(std::uint8_t event) {
    if (event > static_cast<std::uint8_t>(OperationKind::release)) return std::nullopt;
    return static_cast<OperationKind>(event);
}

ReleaseReason release_reason(wire::ExitCause cause) {
    switch (cause) {
        case wire::ExitCause::none:
            return ReleaseReason::no_cause;
        case wire::ExitCause::done:
            return ReleaseReason::done;
        case wire::ExitCause::stopped:
            return ReleaseReason::stopped;
        case wire::ExitCause::gang_member_lost:
            return ReleaseReason::gang_member_lost;
        case wire::ExitCause::gang_wait_timed_out:
            return ReleaseReason::gang_wait_timed_out;
        case wire::ExitCause::error:
            return ReleaseReason::error;
        case wire::ExitCause::no_capacity:
            return ReleaseReason::no_capacity;
        case wire::ExitCause::busy:
            return ReleaseReason::busy;
        case wire::ExitCause::unknown:
            return ReleaseReason::unknown;
    }
    return ReleaseReason::unknown;
}

std::string_view release_reason_name(ReleaseReason reason) {
    switch (reason) {
        case ReleaseReason::no_cause:
            return "none";
        case ReleaseReason::done:
            return "done";
        case ReleaseReason::stopped:
            return "halted";
        case ReleaseReason::gang_member_lost:
            return "peers";
        case ReleaseReason::gang_wait_timed_out:
            return "alone";
        case ReleaseReason::error:
            return "error";
        case ReleaseReason::no_capacity:
            return "no_room";
        case ReleaseReason::busy:
            return "busy";
        case ReleaseReason::unknown:
            return "unknown";
        case ReleaseReason::missing_from_heartbeat:
            return "missing_from_heartbeat";
        case ReleaseReason::start_not_acknowledged:
            return "start_not_acknowledged";
        case ReleaseReason::never_started:
            return "never_started";
        case ReleaseReason::machine_terminated:
            return "machine_terminated";
        case ReleaseReason::lease_expired:
            return "lease_expired";
    }
    return "unknown";
}

std::string_view committed_event_name(const PendingOperation& operation) {
    switch (operation.kind) {
        case OperationKind::start:
            return "start_committed";
        case OperationKind::completion:
            return "task_done";
        case OperationKind::release:
            return "task_released";
    }
    return "task_released";
}

std::string_view log_reason(const PendingOperation& operation) {
    if (operation.forwarded_request) return "forwarded";
    switch (operation.kind) {
        case OperationKind::start:
            return "";
        case OperationKind::completion:
            return "done";
        case OperationKind::release:
            break;
    }
    return operation.release_reason ? release_reason_name(*operation.release_reason) : "";
}

}  // namespace zincdyke
