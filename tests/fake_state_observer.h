/// A state cache observer for unit tests.
#pragma once
#include "store/state_observer.h"

namespace zincdyke::testing {

/// A StateObserver that counts cancelled jobs and ignores all other events.
class FakeStateObserver : public StateObserver {
  public:
    void on_job_changed(const JobId&) override {}
    void on_placement_changed(const MachineId&) override {}
    void on_pages_resized(const JobId&) override {}
    void on_job_cancelled(const JobId&) override { ++cancelled_jobs; }
    void on_job_set_changed() override {}
    void on_membership_changed() override {}

    int cancelled_jobs = 0;
};

}  // namespace zincdyke::testing
