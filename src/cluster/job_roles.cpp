#include "cluster/job_roles.h"

#include <cstddef>
#include <iterator>

#include "cluster/rendezvous_hash.h"
#include "store/keys.h"

namespace zincdyke {

JobRoles::JobRoles(const Settings& settings, const StateCache& state_cache, const Membership& membership)
    : settings_(settings),
      state_cache_(state_cache),
      membership_(membership),
      all_nodes_(settings.all_nodes()) {}

NodeName JobRoles::relay_of(const Job& job) const {
    if (membership_.is_live(job.relay)) return job.relay;
    const auto candidates = membership_.live_nodes();
    return candidates.empty() ? job.relay : pick_by_hash(job.spec.id.value(), candidates);
}

NodeName JobRoles::committer_of(const Job& job) const {
    const Team* team = state_cache_.team_limits(job.spec.team);
    if (team == nullptr || !team->has_limit()) return relay_of(job);
    // Teams with limits are assigned to committers round-robin, which spreads the write load more evenly than
    // hashing a small number of team names.
    const auto position =
        static_cast<std::size_t>(std::distance(settings_.teams.begin(), settings_.teams.find(job.spec.team)));
    const NodeName& preferred = all_nodes_[position % all_nodes_.size()];
    if (membership_.is_live(preferred)) return preferred;
    const auto candidates = membership_.live_nodes();
    return candidates.empty() ? settings_.node : pick_by_hash(keys::team_lock(job.spec.team), candidates);
}

}  // namespace zincdyke
