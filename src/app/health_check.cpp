#include "app/health_check.h"

namespace zincdyke {
namespace {
// An outage for all reaches the nodes one by one: a node that left the list at the first sign of it, while
// its peers were not yet aware, would be kept off the list long after.
constexpr Duration outage_tolerance = std::chrono::milliseconds(3500);
}  // namespace

bool HealthCheck::is_healthy() const {
    if (!cluster_.is_synced() || !jobs_api_.ready()) return false;
    if (store_.unreachable_for() < outage_tolerance) return true;
    // When nobody is served, leaving the load balancer's list helps no user and only delays the return to it.
    return !peers_.is_any_reachable();
}

}  // namespace zincdyke
