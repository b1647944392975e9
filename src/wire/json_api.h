// The JSON interfaces of users, workers, cloud and state service. Their odd field names stay in this package.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"

namespace zd::wire {
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
    Room need;  // of each task
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

// Nothing when the text is not a well-formed submission; `why` then says what is wrong with it.
std::optional<JobSpec> parse_job(std::string_view body, std::string& why);
Json spec_to_json(const JobSpec& s);
std::optional<JobSpec> spec_from_json(const Json& j);
bool valid_job_id(std::string_view id);
std::string job_answer(const JobId& id, Phase phase, std::int64_t done = -1, std::int64_t running = -1);

enum class TaskPhase : std::uint8_t { fetching, waiting, running, saving, ended };
enum class Cause : std::uint8_t { none, done, halted, peers, alone, error, no_room, busy, unknown };
const char* cause_name(Cause c);

struct ReportedTask {
    TaskRef task;
    Attempt attempt = 0;
    TaskPhase phase = TaskPhase::fetching;
    Cause cause = Cause::none;
    bool saved = false;
};
// The fencing token of the protocol (`baton`): first the owner's term, then a count that the owner raises for
// one machine to have it check in at once.
struct Token {
    Term term;
    std::uint32_t count = 0;
    static constexpr int count_bits = 16;
    static constexpr std::uint32_t most_count = (1U << count_bits) - 1;
    std::uint64_t value() const { return term.v << count_bits | count; }
    static Token of(std::uint64_t value) {
        return {Term{value >> count_bits}, static_cast<std::uint32_t>(value & most_count)};
    }
    auto operator<=>(const Token&) const = default;
};
// Orders the messages of one worker: the larger is the newer.
struct ReportAge {
    std::uint64_t session = 0, seq = 0;
    auto operator<=>(const ReportAge&) const = default;
};
struct Report {
    MachineId machine;
    std::string address, type, zone;
    bool spot = false;
    ReportAge age;
    Token token;  // the highest that this worker has seen
    std::optional<double> notice_s;
    std::vector<ReportedTask> tasks;
};
std::optional<Report> parse_report(std::string_view body);

enum class Verb : std::uint8_t { run, halt, clear };
struct Order {
    Verb verb = Verb::run;
    TaskRef task;
    Attempt attempt = 0;
    double grace_s = 0;
};
std::string orders_body(Token token, const std::vector<Order>& orders,
                        std::optional<std::uint64_t> session = {});
std::string redirect_body(const std::optional<NodeName>& owner);

struct MachineType {
    std::string name;
    Room room;
    double cache_gb = 0, fetch_gb_per_s = 0.1, price = 0, spot_price = 0, boot_s = 0;
    std::vector<std::string> zones;
};
std::optional<std::vector<MachineType>> parse_types(std::string_view body);
Json types_to_json(const std::vector<MachineType>& types);
std::optional<std::vector<MachineType>> types_from_json(const Json& j);

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
    bool more = false;
};
std::optional<MachinePage> parse_machine_page(std::string_view body);
std::string rent_body(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                      std::uint32_t count);
std::string return_body(const std::vector<MachineId>& machines);
std::optional<std::vector<MachineId>> parse_machine_names(std::string_view body);

}  // namespace zd::wire
