#include "app/health_check.h"

namespace zincdyke {
namespace {
// Controllers detect an outage of the key-value store at slightly different times. Without this tolerance,
// the first one to detect it would report itself unhealthy and be removed by the load balancer.
constexpr Duration store_outage_tolerance = std::chrono::milliseconds(3500);
}  // namespace

bool HealthCheck::is_healthy() const {
    if (!cluster_.is_synced() || !jobs_api_.ready()) return false;
    if (store_.unreachable_for() < store_outage_tolerance) return true;
    // If no other controller can serve requests either, being removed by the load balancer would only delay
    // the recovery.
    return !peers_.is_any_reachable();
}

}  // namespace zincdyke
