/// The JSON encodings of the interfaces to users, workers, cloud and key-value store. Only this package maps
/// the field names of these protocols to the terms used in the program.
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

/// How the tasks of a job are run: independently (array), only all at the same time (gang), or independently
/// until the job is cancelled (service).
enum class Shape : std::uint8_t { array, gang, service };
/// The priority of a job; lower values have precedence.
enum class Rank : std::uint8_t { critical = 0, high = 1, standard = 2, best_effort = 3 };
/// The state of a job as users see it.
enum class Phase : std::uint8_t { queued, running, done, cancelled };

/// A job as a user submitted it.
struct JobSpec {
    JobId id;
    std::string job_class;
    TeamName team;
    Shape shape = Shape::array;
    Rank rank = Rank::standard;
    TaskIndex tasks = 1;
    Resources need;  ///< The resources that each task requires.
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;  ///< The permitted machine types; nullopt permits all.
    std::optional<std::string> zone;
    bool one_zone = false;  ///< Whether all tasks must be placed in the same zone.
    bool spread = false;  ///< Whether the tasks must be spread over zones, at most half of them in one zone.
    bool spot = false;    ///< Whether the tasks may be placed on spot machines.
    double estimate_s = 0;  ///< The user's estimate of a task's run time; 0 for services without an estimate.
    double checkpoint_s = 0;  ///< Interval between a task's checkpoints; 0 if it saves none.
    double save_s = 0;        ///< Time that a task needs to save its progress before it is stopped.
    std::optional<double> deadline_s;
    bool is_service() const { return shape == Shape::service; }
};

/// The maximum number of tasks in a job.
constexpr TaskIndex max_tasks = 100'000;

/// The reason why a submitted job was rejected as malformed.
struct SubmissionError {
    enum class Code : std::uint8_t {
        not_json,
        not_an_object,
        missing_field,
        invalid_field,  ///< The value has the wrong type or is not in the allowed range or set.
    };
    Code code = Code::invalid_field;
    std::string field;    ///< Protocol name of the field; empty if the error concerns the whole text.
    std::string message;  ///< Message for the user with the field and the allowed values.
};

/// Parses the body of a user's request to submit a job.
[[nodiscard]] tl::expected<JobSpec, SubmissionError> parse_job(std::string_view body);
/// Returns the JSON body of an error response to a user.
[[nodiscard]] std::string error_response_body(std::string_view message);
/// Encodes a job for a stored record, with the field names of the submission.
Json spec_to_json(const JobSpec& spec);
/// Decodes a job from a stored record; nullopt if it is malformed.
std::optional<JobSpec> spec_from_json(const Json& json);
/// Returns whether `id` is "job-" followed by 1 to 36 decimal digits.
bool valid_job_id(std::string_view id);
/// Returns the JSON body that reports a job's state to a user. Negative task counts are omitted.
std::string job_response_body(const JobId& id, Phase phase, std::int64_t done = -1,
                              std::int64_t running = -1);

/// The state of a task on its worker.
enum class TaskPhase : std::uint8_t { fetching, waiting, running, saving, ended };
/// Why a task ended on its worker.
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
/// Returns the protocol's name of the cause.
const char* exit_cause_name(ExitCause cause);

/// The state of one task attempt in a worker's heartbeat.
struct TaskStatus {
    TaskRef task;
    Attempt attempt = 0;
    TaskPhase phase = TaskPhase::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;  ///< Whether the task saved its progress when it ended.
};
/// The fencing token, `baton` on the wire. The upper bits are the leader's term. The lower bits are a count,
/// which the leader increments to make one machine send a heartbeat immediately.
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
/// The position of a heartbeat in the sequence of one worker's heartbeats: a larger value is newer. The
/// fields are `tenure` and `tick` on the wire. A worker starts a new agent epoch when its lease expires.
struct HeartbeatSequence {
    std::uint64_t agent_epoch = 0, number = 0;
    auto operator<=>(const HeartbeatSequence&) const = default;
};
/// A worker's heartbeat with the state of its tasks: the body of a `/checkin` request.
struct Heartbeat {
    MachineId machine;
    std::string address, type, zone;
    bool spot = false;
    HeartbeatSequence sequence;
    FencingToken token;                   ///< The highest token that the worker has received.
    std::optional<double> spot_notice_s;  ///< Time until the cloud reclaims a spot machine, if announced.
    std::vector<TaskStatus> tasks;
};
/// Parses the body of a heartbeat request; nullopt if it is malformed.
std::optional<Heartbeat> parse_heartbeat(std::string_view body);

/// What a worker must do with a task attempt: start it, stop it, or forget it after it has ended. On the
/// wire, the values are `run`, `halt` and `clear`.
enum class CommandKind : std::uint8_t { start, stop, forget };
/// A command from a controller to a worker, about one task attempt.
struct Command {
    CommandKind kind = CommandKind::start;
    TaskRef task;
    Attempt attempt = 0;
    double grace_s = 0;  ///< For `stop`: the time that the task has to save its progress.
};
/// Returns the JSON body with commands to a worker. The field with the agent epoch is omitted if
/// `agent_epoch` is empty.
std::string encode_commands(FencingToken token, const std::vector<Command>& commands,
                            std::optional<std::uint64_t> agent_epoch = {});
/// Returns the JSON body that redirects a worker to the leader of its machine's shard; an empty JSON object
/// if no leader is known.
std::string encode_redirect(const std::optional<NodeName>& leader);

/// A machine type that the cloud offers. Prices are per hour.
struct MachineType {
    std::string name;
    Resources capacity;
    double cache_gb = 0, fetch_gb_per_s = 0.1, price = 0, spot_price = 0, boot_s = 0;
    std::vector<std::string> zones;
};
/// Parses the cloud's list of machine types; nullopt if it is malformed.
std::optional<std::vector<MachineType>> parse_machine_types(std::string_view body);
/// Encodes machine types for the stored record.
Json machine_types_to_json(const std::vector<MachineType>& types);
/// Decodes machine types from the stored record; nullopt if it is malformed.
std::optional<std::vector<MachineType>> machine_types_from_json(const Json& json);

/// The state of a machine in the cloud's list.
enum class MachinePhase : std::uint8_t { booting, running, failed };
/// A machine in the cloud's list.
struct ListedMachine {
    MachineId id;
    std::string address, type, zone;
    bool spot = false;
    MachinePhase phase = MachinePhase::booting;
    double age_s = 0;  ///< Time since the machine was provisioned.
};
/// One page of the cloud's list of machines.
struct MachinePage {
    std::vector<ListedMachine> machines;
    bool has_more = false;  ///< Whether the list continues on another page.
};
/// Parses a page of the cloud's list of machines; nullopt if it is malformed.
std::optional<MachinePage> parse_machine_page(std::string_view body);
/// Returns the JSON body of a request to the cloud for `count` new machines. `request` is its idempotency
/// key.
std::string provision_request_body(const std::string& request, const std::string& type,
                                   const std::string& zone, bool spot, std::uint32_t count);
/// Returns the JSON body of a request to the cloud to terminate machines.
std::string terminate_request_body(const std::vector<MachineId>& machines);
/// Parses the cloud's response with a list of machine ids; nullopt if it is malformed.
std::optional<std::vector<MachineId>> parse_machine_ids(std::string_view body);

}  // namespace zincdyke::wire
