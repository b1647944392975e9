/// The JSON interfaces of users, workers, cloud and key-value store. This package alone maps the field names
/// of the protocol to the terms that the program uses.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/types.h"

namespace zincdyke::wire {
using Json = nlohmann::json;

// A service's tasks are independent like an array's, and run until the job is cancelled.
enum class Shape : std::uint8_t { array, gang, service };
enum class Rank : std::uint8_t { critical = 0, high = 1, standard = 2, best_effort = 3 };
enum class Phase : std::uint8_t { queued, running, done, cancelled };

struct JobSpec {
    JobId id;
    std::string job_class;
    TeamName team;
    Shape shape = Shape::array;
    Rank rank = Rank::standard;
    TaskIndex tasks = 1;
    Resources need;  // of each task
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;  // nothing: any
    std::optional<std::string> zone;
    bool one_zone = false, spread = false, spot = false;
    double estimate_s = 0, checkpoint_s = 0, save_s = 0;
    std::optional<double> deadline_s;
    bool is_service() const { return shape == Shape::service; }
};

constexpr TaskIndex max_tasks = 100'000;

/// Why a submission is not well-formed.
struct SubmissionError {
    enum class Code : std::uint8_t {
        not_json,
        not_an_object,
        missing_field,
        invalid_field,  ///< Of the wrong type, out of range or not one of the allowed values.
    };
    Code code = Code::invalid_field;
    std::string field;    ///< The protocol's name of the field; empty: the text as a whole.
    std::string message;  ///< For the user: names the field and says what is allowed.
};

/// Reads a user's submission.
[[nodiscard]] tl::expected<JobSpec, SubmissionError> parse_job(std::string_view body);
/// The body of an answer that tells a user what is wrong.
[[nodiscard]] std::string error_response_body(std::string_view message);
Json spec_to_json(const JobSpec& s);
std::optional<JobSpec> spec_from_json(const Json& j);
bool valid_job_id(std::string_view id);
std::string job_response_body(const JobId& id, Phase phase, std::int64_t done = -1,
                              std::int64_t running = -1);

enum class TaskPhase : std::uint8_t { fetching, waiting, running, saving, ended };
enum class ExitCause : std::uint8_t {
    none,
    done,
    stopped,
    gang_member_lost,
    gang_wait_timed_out,
    error,
    no_capacity,
    busy,
    unknown
};
const char* exit_cause_name(ExitCause c);

/// A task as its worker reports it.
struct TaskStatus {
    TaskRef task;
    Attempt attempt = 0;
    TaskPhase phase = TaskPhase::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;
};
/// The fencing token (`baton` on the wire): first the leader's term, then a count that the leader raises for
/// one machine to have it send a heartbeat at once.
struct FencingToken {
    Term term;
    std::uint32_t count = 0;
    static constexpr int count_bits = 16;
    static constexpr std::uint32_t max_count = (1U << count_bits) - 1;
    std::uint64_t value() const { return term.value() << count_bits | count; }
    static FencingToken of(std::uint64_t value) {
        return {Term{value >> count_bits}, static_cast<std::uint32_t>(value & max_count)};
    }
    auto operator<=>(const FencingToken&) const = default;
};
/// Orders the messages of one worker: the larger is the newer. On the wire: `tenure`, `tick`. A worker begins
/// a new epoch when its lease expires.
struct HeartbeatSequence {
    std::uint64_t agent_epoch = 0, number = 0;
    auto operator<=>(const HeartbeatSequence&) const = default;
};
/// A worker's heartbeat with its status; on the wire the body of `/checkin`.
struct Heartbeat {
    MachineId machine;
    std::string address, type, zone;
    bool spot = false;
    HeartbeatSequence sequence;
    FencingToken token;  // the highest that this worker has seen
    std::optional<double> spot_notice_s;
    std::vector<TaskStatus> tasks;
};
std::optional<Heartbeat> parse_heartbeat(std::string_view body);

/// On the wire: `run`, `halt`, `clear`.
enum class CommandKind : std::uint8_t { start, stop, forget };
/// A command to a worker; `order` on the wire.
struct Command {
    CommandKind kind = CommandKind::start;
    TaskRef task;
    Attempt attempt = 0;
    double grace_s = 0;
};
std::string encode_commands(FencingToken token, const std::vector<Command>& orders,
                            std::optional<std::uint64_t> agent_epoch = {});
std::string encode_redirect(const std::optional<NodeName>& leader);

struct MachineType {
    std::string name;
    Resources capacity;
    double cache_gb = 0, fetch_gb_per_s = 0.1, price = 0, spot_price = 0, boot_s = 0;
    std::vector<std::string> zones;
};
std::optional<std::vector<MachineType>> parse_machine_types(std::string_view body);
Json machine_types_to_json(const std::vector<MachineType>& types);
std::optional<std::vector<MachineType>> machine_types_from_json(const Json& j);

enum class MachinePhase : std::uint8_t { booting, running, failed };
struct ListedMachine {
    MachineId id;
    std::string address, type, zone;
    bool spot = false;
    MachinePhase phase = MachinePhase::booting;
    double age_s = 0;
};
struct MachinePage {
    std::vector<ListedMachine> machines;
    bool has_more = false;
};
std::optional<MachinePage> parse_machine_page(std::string_view body);
std::string provision_request_body(const std::string& request, const std::string& type,
                                   const std::string& zone, bool spot, std::uint32_t count);
std::string terminate_request_body(const std::vector<MachineId>& machines);
std::optional<std::vector<MachineId>> parse_machine_ids(std::string_view body);

}  // namespace zincdyke::wire
