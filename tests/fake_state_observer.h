/// Observers of the state cache for tests that use it alone.
#pragma once
#include "store/state_observer.h"

namespace zincdyke::testing {

/// Counts what the tests ask about, and ignores the rest.
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
