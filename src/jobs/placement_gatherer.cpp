#include "jobs/placement_gatherer.h"

#include <optional>
#include <utility>

namespace zincdyke {
namespace {
constexpr Duration gather_timeout = std::chrono::milliseconds(300);  // from a round's first response
constexpr Duration cleanup_interval = std::chrono::milliseconds(100);
// How long decided placement rounds are kept in order to recognize late responses. A response that arrives
// even later starts a new round, which is decided with that response alone.
constexpr Duration round_retention = std::chrono::seconds(6);
}  // namespace

PlacementGatherer::PlacementGatherer(Env& env, const StateCache& state_cache, PeerChannel& peers)
    : env_(env), state_cache_(state_cache), peers_(peers) {}

void PlacementGatherer::start() { remove_old_rounds(); }

void PlacementGatherer::remove_old_rounds() {
    env_.after(cleanup_interval, [this] { remove_old_rounds(); });
    const SteadyTime now = env_.now();
    std::erase_if(rounds_,
                  [&](const auto& entry) { return now - entry.second.first_response_at > round_retention; });
}

void PlacementGatherer::on_placement_response(const wire::PlacementResponse& response) {
    Round& round = rounds_[response.round];
    if (round.is_decided) {
        // The round is decided already. An empty decision makes the late scorer release the capacity that it
        // reserved.
        peers_.send(response.scorer, wire::PlacementDecision{response.round, response.job, {}});
        return;
    }
    if (round.responded_scorers.empty()) {
        round.job = response.job;
        round.tasks = response.tasks;
        round.expected_responses = response.scorers;
        round.first_response_at = env_.now();
        round.timer = env_.after(gather_timeout, [this, id = response.round] { decide(id); });
    }
    if (!round.responded_scorers.insert(response.scorer).second) return;
    round.is_gang = round.is_gang || response.is_gang;
    for (const auto& offer : response.offers) round.offers.push_back({offer, response.scorer});
    if (round.responded_scorers.size() >= round.expected_responses) {
        env_.cancel(round.timer);
        decide(response.round);
    }
}

void PlacementGatherer::decide(const wire::RoundId& id) {
    const auto found = rounds_.find(id);
    if (found == rounds_.end() || found->second.is_decided) return;
    Round& round = found->second;
    round.is_decided = true;
    ++counts_.rounds_decided;
    counts_.total_decision_ms +=
        static_cast<std::uint64_t>((env_.now() - round.first_response_at).count() / 1000);
    const Job* job = state_cache_.job(round.job);
    std::optional<TaskIndex> max_per_zone;
    if (job != nullptr && job->spec.spread) max_per_zone = sched::max_tasks_per_zone(job->spec.tasks);
    auto accepted = sched::choose_offers(std::move(round.offers), round.tasks, round.is_gang, max_per_zone,
                                         env_.rng(), job != nullptr && job->spec.one_zone);
    round.offers.clear();
    std::set<TaskIndex> failed_tasks(round.tasks.begin(), round.tasks.end());
    for (const auto& scorer : round.responded_scorers) {
        wire::PlacementDecision decision{id, round.job, {}};
        if (const auto assignments = accepted.find(scorer); assignments != accepted.end())
            decision.accepted = std::move(assignments->second);
        for (const auto& assignment : decision.accepted) failed_tasks.erase(assignment.task);
        peers_.send(scorer, std::move(decision));
    }
    if (!failed_tasks.empty())
        peers_.send(id.relay,
                    wire::PlacementFailure{id, round.job, {failed_tasks.begin(), failed_tasks.end()}});
}

}  // namespace zincdyke
