#include "autoscaler/arrivals.h"

#include <algorithm>

namespace zincdyke::autoscaler {
namespace {
constexpr std::int64_t window_ms = 240'000;
// Minimum length of the time window over which submissions are averaged. A submission rate over a shorter
// time would be unreliable.
constexpr double min_window_s = 30;
constexpr std::size_t max_arrivals = 500;
}  // namespace

void ArrivalStatistics::record_submission(const Job& job) {
    const std::pair key{job.submitted, job.spec.id};
    if (arrivals_.contains(key)) return;
    const bool is_latest = arrivals_.empty() || job.submitted > arrivals_.rbegin()->first.first;
    if (is_latest) latest_spec_ = job.spec;
    if (first_submitted_ == WallTime{}) first_submitted_ = job.submitted;
    const TaskIndex machines = job.spec.shape == wire::Shape::array ? 1 : job.spec.tasks;
    arrivals_.emplace(key, Arrival{machines, job.spec.image});
    if (arrivals_.size() > max_arrivals) arrivals_.erase(arrivals_.begin());
}

void ArrivalStatistics::remove_expired_submissions(WallTime now) {
    while (!arrivals_.empty() && arrivals_.begin()->first.first.value() + window_ms < now.value())
        arrivals_.erase(arrivals_.begin());
}

double ArrivalStatistics::machines_per_s(WallTime now) const {
    double machines = 0;
    for (const auto& [key, arrival] : arrivals_) machines += arrival.machines;
    return machines / window_s(now);
}

std::size_t ArrivalStatistics::max_machines_per_job() const {
    std::size_t max_machines = 0;
    for (const auto& [key, arrival] : arrivals_)
        max_machines = std::max<std::size_t>(max_machines, arrival.machines);
    return max_machines;
}

std::map<std::string, double> ArrivalStatistics::image_shares() const {
    std::map<std::string, double> shares;
    double total = 0;
    for (const auto& [key, arrival] : arrivals_) {
        shares[arrival.image] += arrival.machines;
        total += arrival.machines;
    }
    for (auto& [image, share] : shares) share /= total;
    return shares;
}

// Returns the length of the time window in seconds. The window does not extend back beyond the job class's
// first submission, so that the submission rate of a new class is not underestimated.
double ArrivalStatistics::window_s(WallTime now) const {
    const double since_first_s = static_cast<double>(now.value() - first_submitted_.value()) / 1000.0;
    return std::clamp(since_first_s, min_window_s, window_ms / 1000.0);
}

}  // namespace zincdyke::autoscaler
