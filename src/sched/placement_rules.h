/// Placement decisions as pure functions, which use no sockets, clocks or key-value store.
#pragma once
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke::sched {

/// A machine on which a scorer may place tasks of the job being scored.
struct Candidate {
    MachineId id;
    std::string zone;
    Resources free, total;
    bool has_image = false;   ///< Whether the machine has the job's image or is fetching it.
    int failure_penalty = 0;  ///< Penalty for recent task failures on the machine; 0 if there were none.
    /// Number of the job's replicas on the machine if the job is a service, otherwise 0.
    TaskIndex replica_count = 0;
};

/// Returns how many tasks that need `need` each fit into `available`.
std::size_t tasks_that_fit(const Resources& available, const Resources& need);
/// Returns whether the job allows the machine type and one of its tasks fits on an empty machine of that
/// type.
bool type_allowed(const wire::JobSpec& spec, const wire::MachineType& type);
/// Returns whether the job should use machines of `type`: false if the type has GPUs that the job does not
/// need and the job can use a type without GPUs. This keeps GPU machines free for jobs that need GPUs.
bool should_use_type(const wire::JobSpec& spec, const wire::MachineType& type,
                     const std::vector<wire::MachineType>& types);
/// The terms under which a machine is reserved for a class of jobs or for a single job.
struct Reservation {
    std::string job_class;
    /// Lowest rank of the jobs of `job_class` that the machine is reserved for.
    wire::Rank rank = wire::Rank::standard;
    /// Longest time, in seconds, that a preemptible task may need to save a checkpoint if it is to run on the
    /// reserved machine; 0 if no preemptible task may run there.
    double max_save_s = 0;
    /// The only job that may use the machine; empty if the reservation is for a class.
    JobId job = {};
};
/// Returns whether tasks of the job may be placed on a machine with this reservation.
bool may_use_reserved(const wire::JobSpec& spec, const Reservation& reservation);
/// Returns whether tasks of the job can be preempted for the reservation without losing work: the job is an
/// array of lower rank whose tasks save checkpoints, within the time that the reservation allows.
bool can_be_preempted_for(const wire::JobSpec& spec, const Reservation& reservation);
/// Returns whether the job's constraints and `required_zone` allow a machine of the given type in the given
/// zone, which is a spot machine if `spot` is set. Without a `required_zone`, only the job's own zone
/// constraint applies.
bool machine_allowed(const wire::JobSpec& spec, const std::optional<std::string>& required_zone,
                     const std::string& type, const std::string& zone, bool spot);

/// Returns whether job `a` has precedence over job `b` for a machine that both could use: by higher rank,
/// then by earlier submission. Submissions less than `min_age_gap_s` apart have no order, because clocks
/// differ and a placement round takes time.
bool has_precedence(const Job& a, const Job& b, double min_age_gap_s);

/// Returns whether the machine types that job `a` should use are a proper subset of those that job `b` should
/// use. If so, job `a` has precedence on machines of these types, because job `b` can use other types as
/// well.
bool has_fewer_types(const wire::JobSpec& a, const wire::JobSpec& b,
                     const std::vector<wire::MachineType>& types);

/// Returns the score of a candidate for a task that needs `need`; higher is better. `largest` is the maximum
/// of each resource over all candidates. Recent task failures weigh most, a cached image less and free
/// capacity least. Replicas of the job on the machine lower the score: with the image cached, a machine with
/// one replica scores below a machine without replicas, and a machine with two replicas below a machine with
/// neither replicas nor the image.
std::int64_t score(const Candidate& candidate, const Resources& need, const Resources& largest);

/// Options of `make_offers`.
struct OfferOptions {
    /// Whether `max_offers` limits the offers in each zone instead of in total.
    bool is_limit_per_zone = false;
    /// Whether to spread the tasks over machines, as for the replicas of a service.
    bool spread_replicas = false;
};
/// Returns up to `max_offers` offers of resources `need` each. The next offer always comes from the candidate
/// with the highest score at that point, and `need` is deducted from that candidate's free resources.
std::vector<wire::PlacementOffer> make_offers(std::vector<Candidate>& candidates, const Resources& need,
                                              std::size_t max_offers, OfferOptions options = {});

/// Returns how many of `tasks` tasks may be in the same zone if their job must be spread over zones: half of
/// them, rounded up.
TaskIndex max_tasks_per_zone(TaskIndex tasks);

/// A placement offer together with the controller that made it.
struct ScoredOffer {
    wire::PlacementOffer offer;
    NodeName scorer;
};
/// Assigns tasks to the offers with the highest scores, with ties broken at random, and returns the
/// assignments by scorer. If `all_or_nothing` is set, as for a gang, returns none unless all tasks are
/// assigned. No zone gets more than `max_per_zone` tasks, if set. If `one_zone` is set, all tasks go to the
/// zone with offers for the most tasks and, among equal ones, the highest total score.
std::map<NodeName, std::vector<wire::Assignment>> choose_offers(std::vector<ScoredOffer> offers,
                                                                const std::vector<TaskIndex>& tasks,
                                                                bool all_or_nothing,
                                                                std::optional<TaskIndex> max_per_zone,
                                                                std::mt19937_64& rng, bool one_zone = false);

/// The progress of a gang's latest attempt.
struct GangState {
    Attempt latest_attempt = 0;  ///< Highest attempt number of any unfinished task; 0 if none has started.
    bool failed = false;  ///< Whether a task of the gang ended in the latest attempt without being done.
    TaskIndex placed_tasks = 0;
};
/// Returns the state of a gang's latest attempt, derived from the states of the gang's tasks.
GangState gang_state(const Job& job);
/// Returns the number of the attempt that the next start of the task begins or joins, or nothing if the task
/// must not start now because tasks of a failed gang attempt are still placed.
std::optional<Attempt> next_attempt_number(const Job& job, const TaskState& task);

}  // namespace zincdyke::sched
