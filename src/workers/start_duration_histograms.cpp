#include "workers/start_duration_histograms.h"

#include <algorithm>

namespace zincdyke {

const char* step_name(StartStep step) {
    switch (step) {
        case StartStep::queue:
            return "queue";
        case StartStep::commit:
            return "commit";
        case StartStep::delivery:
            return "delivery";
        case StartStep::image:
            return "image";
        case StartStep::gang:
            return "gang";
    }
    return "";
}

Duration step_duration(const StartProgress& progress, StartStep step, SteadyTime running_since) {
    switch (step) {
        case StartStep::queue:
            return progress.queue_duration;
        case StartStep::commit:
            return progress.committed_at - progress.assigned_at;
        case StartStep::delivery:
            return progress.sent_at - progress.committed_at;
        case StartStep::image:
            return progress.image_ready_at - progress.sent_at;
        case StartStep::gang:
            return running_since - progress.image_ready_at;
    }
    return {};
}

void StartDurationHistograms::add_start(const std::string& job_class, const StartProgress& progress,
                                        SteadyTime running_since) {
    if (by_class_.size() >= max_job_classes && !by_class_.contains(job_class)) return;
    StepHistograms& histograms = by_class_[job_class];
    for (std::size_t i = 0; i < start_step_count; ++i) {
        const double duration_s =
            to_seconds(step_duration(progress, static_cast<StartStep>(i), running_since));
        const auto bucket = std::lower_bound(bucket_bounds_s.begin(), bucket_bounds_s.end(), duration_s) -
                            bucket_bounds_s.begin();
        ++histograms[i][static_cast<std::size_t>(bucket)];
    }
}

}  // namespace zincdyke
