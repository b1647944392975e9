// Starts and ends of tasks between the leader that decides them and the committer: when an end is over.
#include "jobs/task_committer.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "fake_state_observer.h"
#include "manual_env.h"
#include "store/records.h"

namespace zincdyke::testing {
namespace {

class IgnoringClusterObserver : public ClusterObserver {
  public:
    void on_leadership_acquired(std::uint32_t) override {}
    void on_state_read(SteadyTime) override {}
};

// Keeps the requests that are forwarded to the peers, all of which are reachable.
class RecordingPeerChannel : public PeerChannel {
  public:
    void send(const NodeName&, wire::PeerMessage message) override {
        if (const auto* request = std::get_if<wire::CommitRequest>(&message); request != nullptr)
            commit_requests.push_back(*request);
    }
    [[nodiscard]] bool is_reachable(const NodeName&) const override { return true; }
    [[nodiscard]] std::vector<NodeName> reachable_nodes() const override { return {}; }

    std::vector<wire::CommitRequest> commit_requests;
};

const JobId job_id("job-1");
const MachineId machine("host-1");
constexpr Attempt attempt = 1;

// Controller n0 leads the only shard. Job job-1, whose committer is n1, has its task placed on a machine
// there.
class TaskCommitterTest : public ::testing::Test {
  protected:
    TaskCommitterTest() {
        Job job;
        job.spec.id = job_id;
        job.spec.job_class = "nightly";
        job.spec.image = "image";
        job.spec.team = TeamName("red");
        job.spec.tasks = 1;
        job.spec.need = {1000, 0, 1000};
        job.relay = NodeName("n1");
        cluster_.start();
        env_.answer("/grants", 200, R"({"tether":7})");
        env_.answer("/commit", 200, R"({"epoch":5})");
        const Json items = {
            item(keys::node(NodeName("n0")), Json::object(), 5),
            item(keys::node(NodeName("n1")), Json::object(), 6),
            item(keys::job(job_id), records::encode_job(job, {}, 100'000), 7),
            item(keys::page(job_id, 0), page({TaskState::Status::placed, attempt, machine, ""}), 8)};
        env_.answer("/store", 200, Json{{"epoch", 10}, {"has_next", false}, {"items", items}}.dump());
        env_.answer("/watch", 200, R"({"epoch":10,"news":[]})");
        env_.run_for(millis(150));
        env_.answer("/commit", 200, R"({"epoch":11})");
        answer_watch("hold_ms=2000", 11, {change(keys::shard(0), Json{{"owner", "n0"}, {"inc", 5}}, 11)});
    }

    static Settings two_controllers() {
        Settings settings;
        settings.node = NodeName("n0");
        settings.seeds = {Seed{NodeName("n1"), "a", "10.0.0.2:1"}};
        settings.controller_count = 1;  // one shard
        settings.store_address = "store";
        settings.lease_s = 10;
        settings.store_rps = 200;
        settings.store_limits = {100, 4, 16};
        settings.strictest_limits = settings.store_limits;
        settings.teams[TeamName("red")] = Team{TeamName("red")};
        return settings;
    }
    static Json item(const std::string& key, const Json& value, std::uint64_t version) {
        return {{"key", key}, {"value", value}, {"stamp", version}};
    }
    static Json change(const std::string& key, const Json& value, std::uint64_t version) {
        return {{"set", key}, {"value", value}, {"stamp", version}};
    }
    static Json page(const TaskState& task) { return records::encode_page({task}, 0); }
    static Json release(std::uint64_t version) {
        return change(keys::page(job_id, 0), page({TaskState::Status::pending, attempt, {}, ""}), version);
    }
    // Answers the oldest watch whose path ends with `hold`.
    void answer_watch(const std::string& hold, std::uint64_t revision, const std::vector<Json>& changes) {
        const std::string after = std::to_string(state_cache_.applied_revision.value());
        std::string watch = "/watch?prefix=z/&after=";
        watch += after + "&" + hold;
        env_.answer(watch, 200, Json{{"epoch", revision}, {"news", changes}}.dump());
    }
    // Decides the release of the attempt, and returns the id of the request that forwards it to n1.
    std::optional<std::uint64_t> forward_release() {
        committer_.commit_release({job_id, 0}, attempt, machine, ReleaseReason::lease_expired);
        env_.run_for(millis(5));
        if (peers_.commit_requests.size() != 1) return std::nullopt;
        return peers_.commit_requests.at(0).operations.at(0).request_id;
    }
    [[nodiscard]] bool has_pending_end() const { return committer_.has_pending_end({job_id, 0}, attempt); }

    const Settings settings_ = two_controllers();
    ManualEnv env_;
    FakeStateObserver state_observer_;
    IgnoringClusterObserver cluster_observer_;
    RecordingPeerChannel peers_;
    StateCache state_cache_{settings_, state_observer_};
    StoreClient store_{env_, settings_};
    ClusterCoordinator cluster_{env_, settings_, store_, state_cache_, cluster_observer_};
    TaskCommitter committer_{env_, settings_, store_, state_cache_, cluster_, peers_};
};

// Guards against ran_twice: the committer found the release carried out by a commit of its own that had got
// no answer, and said so without the record. The leader, whose watch lags, started the released attempt.
TEST_F(TaskCommitterTest, EndIsPendingUntilTheCacheShowsWhatItsResultMeans) {
    for (const bool is_committed : {false, true}) {
        SCOPED_TRACE(is_committed);
        const auto request = forward_release();
        ASSERT_TRUE(request);
        EXPECT_TRUE(has_pending_end());
        committer_.on_commit_response({{{*request, is_committed}}, {}});
        EXPECT_TRUE(has_pending_end());
        if (!is_committed) {
            // Refused, and still placed there: the release may be decided again.
            env_.run_for(millis(50));
            answer_watch("hold_ms=0", 11, {});
            EXPECT_FALSE(has_pending_end());
            peers_.commit_requests.clear();
            continue;
        }
        env_.run_for(millis(50));
        answer_watch("hold_ms=0", 20, {release(20)});
        EXPECT_FALSE(has_pending_end());
        EXPECT_TRUE(state_cache_.tasks_on(machine).empty());
    }
}

// The usual case: the record comes with the result, and nothing is waited for.
TEST_F(TaskCommitterTest, EndIsOverWithTheRecordThatComesWithItsResult) {
    const auto request = forward_release();
    ASSERT_TRUE(request);
    const wire::StoredRecord record{keys::page(job_id, 0),
                                    page({TaskState::Status::pending, attempt, {}, ""}).dump(), 20};
    committer_.on_commit_response({{{*request, true}}, {record}});
    EXPECT_FALSE(has_pending_end());
}

}  // namespace
}  // namespace zincdyke::testing
