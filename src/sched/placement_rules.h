// Pure placement logic: no sockets, no clock, no store.
#pragma once
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke::sched {

// A machine as its owner's scorer sees it.
struct Candidate {
    MachineId id;
    std::string zone;
    Resources free, total;
    bool has_image = false;
    int failure_penalty = 0;      // recent troubles
    TaskIndex replica_count = 0;  // of the job that asks, a service: one lost machine should take few of them
};

// How many tasks with this need the room takes.
std::size_t tasks_that_fit(const Resources& room, const Resources& need);
// Whether a task of the job fits the type, and may run on it.
bool type_allowed(const wire::JobSpec& s, const wire::MachineType& t);
// GPUs are kept for those who need them, as long as another type would do.
bool should_use_type(const wire::JobSpec& s, const wire::MachineType& t,
                     const std::vector<wire::MachineType>& types);
// May a task of this job use a machine that is reserved for a class of this rank?
struct Reservation {
    std::string job_class;
    wire::Rank rank = wire::Rank::standard;
    double max_save_s = 0;
    JobId job = {};  // kept for this one alone
};
bool may_use_reserved(const wire::JobSpec& s, const Reservation& r);
// A task of this job may be stopped for that class, and loses no work by it.
bool can_be_preempted_for(const wire::JobSpec& s, const Reservation& r);
bool machine_allowed(const wire::JobSpec& s, const std::optional<std::string>& pin, const std::string& type,
                     const std::string& zone, bool spot);

// True when `a` comes before `b` for a place that both could take: by rank, then by age. Ages closer than the
// clocks' skew and a round of placement are no order.
bool has_precedence(const Job& a, const Job& b, double apart_s);

// True when `a` has fewer kinds of machines to go to than `b`: what fits few types goes first there, and
// leaves the rest to those that have a choice. By the types alone, GPU machines not counted where others
// would do.
bool has_fewer_types(const wire::JobSpec& a, const wire::JobSpec& b,
                     const std::vector<wire::MachineType>& types);

// Holders of the image first, then the most free room once the task is there. A service's second replica on a
// machine counts for less than another holder's first, a third for less than a machine without the image.
std::int64_t score(const Candidate& c, const Resources& need, const Resources& largest);

struct OfferOptions {
    bool is_limit_per_zone = false;  // up to so many offers from each zone
    bool spread_replicas = false;    // the tasks are a service's
};
// Up to `tasks` offers, best first; the room of each is taken from the candidates.
std::vector<wire::PlacementOffer> make_offers(std::vector<Candidate>& candidates, const Resources& need,
                                              std::size_t tasks, OfferOptions options = {});

// Tasks of a `spread` job that one zone may hold: of these tasks, and of those on one page.
TaskIndex max_tasks_per_zone(TaskIndex tasks);

struct ScoredOffer {
    wire::PlacementOffer offer;
    NodeName scorer;
};
// The gatherer's choice: top scores, ties at random. A gang gets all or nothing. For a job of one zone it is
// the zone that can take most of the tasks, and of those the one with the best scores.
std::map<NodeName, std::vector<wire::Assignment>> choose_offers(std::vector<ScoredOffer> offers,
                                                                const std::vector<TaskIndex>& tasks,
                                                                bool whole, std::optional<TaskIndex> per_zone,
                                                                std::mt19937_64& rng, bool one_zone = false);

// What a gang's tasks may do next.
struct GangState {
    Attempt attempt = 0;  // the newest
    bool failed = false;  // a member of it ended before all were done
    TaskIndex placed = 0;
};
GangState gang_state(const Job& j);
// The number that a task's next start bears; nothing when none may start now.
std::optional<Attempt> next_attempt(const Job& j, const TaskState& t);

}  // namespace zincdyke::sched
