// All records are read anew while commits are answered and messages are late: what the state cache knew
// already is not taken back, and no decision is based on it before its watch has caught up.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "cluster/membership.h"
#include "cluster/state_watcher.h"
#include "fake_state_observer.h"
#include "jobs/committed_records.h"
#include "manual_env.h"
#include "store/records.h"

namespace zincdyke::testing {
namespace {

class IgnoringClusterObserver : public ClusterObserver {
  public:
    void on_leadership_acquired(std::uint32_t) override {}
    void on_state_read(SteadyTime) override {}
};

const JobId job_id("job-1");
const MachineId machine("host-1");

// A controller that has read job-1 (version 5) and its only page (version 8), on which the task is placed.
class StateReload : public ::testing::Test {
  protected:
    StateReload() {
        job_.spec.id = job_id;
        job_.spec.job_class = "nightly";
        job_.spec.image = "image";
        job_.spec.team = TeamName("red");
        job_.spec.tasks = 1;
        job_.spec.need = {1000, 0, 1000};
        watcher_.start();
        env_.answer("/store", 200, list(10, {job_item(5), page_item(8, placed())}));
        catch_up(10);
    }

    static Settings one_controller() {
        Settings settings;
        settings.node = NodeName("n0");
        settings.controller_count = 1;
        settings.store_rps = 200;
        settings.store_limits = {100, 4, 16};
        settings.strictest_limits = settings.store_limits;
        settings.teams[TeamName("red")] = Team{TeamName("red")};
        return settings;
    }
    static TaskState placed() { return {TaskState::Status::placed, 1, machine, ""}; }
    static TaskState released() { return {TaskState::Status::pending, 1, {}, ""}; }
    Json job_record() const { return records::encode_job(job_, {}, 100'000); }
    static Json page_record(const TaskState& task) { return records::encode_page({task}, 0); }
    Json job_item(std::uint64_t version) const {
        return {{"key", keys::job(job_id)}, {"value", job_record()}, {"stamp", version}};
    }
    static Json page_item(std::uint64_t version, const TaskState& task) {
        return {{"key", keys::page(job_id, 0)}, {"value", page_record(task)}, {"stamp", version}};
    }
    static std::string list(std::uint64_t revision, const std::vector<Json>& items) {
        return Json{{"epoch", revision}, {"has_next", false}, {"items", items}}.dump();
    }
    // Answers the watch that requests an immediate response, if there is one.
    void catch_up(std::uint64_t revision) {
        env_.run_for(millis(60));
        const std::string watch = "/watch?prefix=z/&after=" + std::to_string(revision) + "&hold_ms=0";
        if (env_.pending_requests(watch) > 0)
            env_.answer(watch, 200, Json{{"epoch", revision}, {"news", Json::array()}}.dump());
        ASSERT_TRUE(watcher_.is_up_to_date());
    }
    void begin_reload() {
        env_.run_for(millis(100));
        env_.answer("/watch", 410);
        ASSERT_FALSE(watcher_.is_up_to_date());
    }
    // The watch tells that the job was closed.
    void close_job(std::uint64_t version) {
        env_.run_for(millis(100));
        const Json closed = {{{"delete", keys::job(job_id)}, {"stamp", version}},
                             {{"delete", keys::page(job_id, 0)}, {"stamp", version}}};
        env_.answer("/watch", 200, Json{{"epoch", version}, {"news", closed}}.dump());
        ASSERT_EQ(state_cache_.job(job_id), nullptr);
    }
    // The records that another controller's commit of a start left at `version`.
    std::vector<wire::StoredRecord> late_response(const JobId& id, std::uint64_t version) const {
        Job job = job_;
        job.spec.id = id;
        return {{keys::job(id), records::encode_job(job, {}, 100'000).dump(), version},
                {keys::page(id, 0), page_record(placed()).dump(), version}};
    }
    [[nodiscard]] TaskState task() const { return state_cache_.task({job_id, 0}); }

    const Settings settings_ = one_controller();
    ManualEnv env_;
    FakeStateObserver state_observer_;
    IgnoringClusterObserver cluster_observer_;
    StateCache state_cache_{settings_, state_observer_};
    StoreClient store_{env_, settings_};
    Membership membership_{settings_, state_cache_};
    StateWatcher watcher_{env_, settings_, store_, state_cache_, membership_, cluster_observer_, [] {}};
    Job job_;
};

// Guards against ran_twice: a leader took a released attempt for placed again after a list that was read
// before the release, and commanded its start while the next attempt ran on another machine.
TEST_F(StateReload, ReleaseAnsweredDuringTheListIsNotTakenBack) {
    begin_reload();
    state_cache_.apply({keys::page(job_id, 0), page_record(released()), Revision{20}});
    env_.answer("/store", 200, list(15, {job_item(5), page_item(8, placed())}));
    EXPECT_EQ(task().status, TaskState::Status::pending);
    EXPECT_TRUE(state_cache_.tasks_on(machine).empty());
    EXPECT_EQ(state_cache_.version(keys::page(job_id, 0)), Revision{20});
}

// Guards against ran_twice by the same list: the leader counted as up to date before it had caught up with
// what was committed since the list was read.
TEST_F(StateReload, IsUpToDateOnlyOnceTheWatchHasCaughtUp) {
    begin_reload();
    env_.answer("/store", 200, list(15, {job_item(5), page_item(8, placed())}));
    EXPECT_FALSE(watcher_.is_up_to_date());
    const Json release{{"set", keys::page(job_id, 0)}, {"value", page_record(released())}, {"stamp", 20}};
    env_.answer("/watch?prefix=z/&after=15&hold_ms=0", 200, Json{{"epoch", 20}, {"news", {release}}}.dump());
    EXPECT_TRUE(watcher_.is_up_to_date());
    EXPECT_EQ(task().status, TaskState::Status::pending);
}

// The process stalls while the list is on its way, and notices before the answer comes: the list is as old as
// the stall is long.
TEST_F(StateReload, StallDuringTheListIsCaughtUp) {
    begin_reload();
    env_.stall(seconds(20));
    env_.run_for(millis(60));
    env_.answer("/store", 200, list(15, {job_item(5), page_item(8, placed())}));
    EXPECT_FALSE(watcher_.is_up_to_date());
    while (env_.pending_requests("/watch") > 0) env_.answer("/watch", 200, R"({"epoch":20,"news":[]})");
    EXPECT_TRUE(watcher_.is_up_to_date());
}

// Records that were deleted before the list was read go, and leave no task, usage or page behind.
TEST_F(StateReload, RecordsMissingFromTheListAreRemoved) {
    begin_reload();
    state_cache_.apply(
        {keys::job(JobId("job-2")), job_record(), Revision{17}});  // accepted after the list was read
    env_.answer("/store", 200, list(15, {}));
    EXPECT_EQ(state_cache_.job(job_id), nullptr);
    EXPECT_TRUE(state_cache_.tasks_on(machine).empty());
    EXPECT_EQ(state_cache_.quota_usage(job_.spec.team).cpu, 0);
    EXPECT_TRUE(state_cache_.orphaned_pages().empty());
    EXPECT_NE(state_cache_.job(JobId("job-2")), nullptr);
}

// Of a job that was closed, the pages that are still listed are orphaned.
TEST_F(StateReload, ListedPageOfARemovedJobIsOrphaned) {
    begin_reload();
    env_.answer("/store", 200, list(15, {page_item(8, placed())}));
    EXPECT_EQ(state_cache_.job(job_id), nullptr);
    EXPECT_TRUE(state_cache_.tasks_on(machine).empty());
    EXPECT_EQ(state_cache_.orphaned_pages().size(), 1U);
}

// Guards against ran_cancelled: a commit's response that had been held back between controllers brought a
// cancelled and closed job back, whose task was then started. The three tests differ in why the leader has
// not kept the version at which the job was deleted.
TEST_F(StateReload, LateMessageDoesNotBringBackAJobClosedBeforeTheList) {
    apply_stored_records(state_cache_, late_response(JobId("job-2"), 7));
    EXPECT_EQ(state_cache_.job(JobId("job-2")), nullptr);
    EXPECT_EQ(state_cache_.tasks_on(machine), (std::set<TaskRef>{{job_id, 0}}));
}

TEST_F(StateReload, LateMessageDoesNotBringBackAJobClosedBeforeAReload) {
    close_job(12);
    begin_reload();
    env_.answer("/store", 200, list(15, {}));
    apply_stored_records(state_cache_, late_response(job_id, 9));
    EXPECT_EQ(state_cache_.job(job_id), nullptr);
    EXPECT_TRUE(state_cache_.tasks_on(machine).empty());
}

TEST_F(StateReload, LateMessageDoesNotBringBackAJobWhoseDeletedVersionWasDropped) {
    close_job(12);
    constexpr std::uint64_t deletions = 5000;  // more than the cache keeps versions of deleted records
    Json changes = Json::array();
    for (std::uint64_t i = 0; i < deletions; ++i)
        changes.push_back({{"delete", "z/j/job-9" + std::to_string(i)}, {"stamp", 13 + i}});
    env_.run_for(millis(100));
    env_.answer("/watch", 200, Json{{"epoch", 13 + deletions}, {"news", changes}}.dump());
    state_cache_.apply({keys::job(JobId("job-3")), std::nullopt, Revision{14 + deletions}});
    apply_stored_records(state_cache_, late_response(job_id, 9));
    EXPECT_EQ(state_cache_.job(job_id), nullptr);
    EXPECT_TRUE(state_cache_.tasks_on(machine).empty());
}

// A record that the watch has not brought yet is newer than all that was applied, and counts at once.
TEST_F(StateReload, MessageAheadOfTheWatchIsApplied) {
    apply_stored_records(state_cache_, late_response(JobId("job-2"), 11));
    ASSERT_NE(state_cache_.job(JobId("job-2")), nullptr);
    EXPECT_EQ(state_cache_.tasks_on(machine).size(), 2U);
}

}  // namespace
}  // namespace zincdyke::testing
