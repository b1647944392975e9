/// One transaction out of starts and ends of tasks: what it names and writes, what is left over, and what is
/// settled without a write.
#include "jobs/transaction_builder.h"

#include <gtest/gtest.h>

#include "fake_state_observer.h"
#include "jobs/commit_timing.h"
#include "store/records.h"

namespace zincdyke::testing {
namespace {

const JobId job_id("job-1");
const Term own_term{7};

class TransactionBuilderTest : public ::testing::Test {
  protected:
    TransactionBuilderTest() {
        settings_.node = NodeName("n0");
        settings_.store_limits = {100, 4, 16};
        settings_.strictest_limits = settings_.store_limits;
        Team free{TeamName("free")}, limited{TeamName("limited")};
        limited.cpu_max = 2000;
        settings_.teams = {{free.name, free}, {limited.name, limited}};
        job_.spec.id = job_id;
        job_.spec.job_class = "nightly";
        job_.spec.image = "image";
        job_.spec.team = free.name;
        job_.spec.tasks = 3;
        job_.spec.need = {1000, 0, 1000};
    }

    // With the job's record and those of its shard; to be called once the settings and the job are final.
    void load() {
        cache_.emplace(settings_, observer_);
        cache_->apply({"z/p/0", Json{{"owner", "n0"}}, own_term});
        cache_->apply({keys::job(job_id), records::encode_job(job_, {}, 100'000), Revision{10}});
        cache_->applied_revision = Revision{20};
    }
    void load_page(const std::vector<TaskState>& tasks) {
        cache_->applied_revision = Revision{10};  // the page is read after the job
        cache_->apply({keys::page(job_id, 0), records::encode_page(tasks, 0), Revision{11}});
        cache_->applied_revision = Revision{20};
    }
    static TaskState placed(Attempt attempt, const char* machine) {
        return {TaskState::Status::placed, attempt, MachineId(machine), ""};
    }
    static TaskState done() { return {TaskState::Status::done, 0, {}, ""}; }

    PendingOperation start(TaskIndex task, const char* machine) const {
        PendingOperation operation;
        operation.task = task;
        operation.machine = MachineId(machine);
        operation.zone = "a";
        operation.term = own_term;
        operation.accepted_at = now_;
        return operation;
    }
    PendingOperation end(OperationKind kind, TaskIndex task, Attempt attempt, const char* machine) const {
        PendingOperation operation = start(task, machine);
        operation.kind = kind;
        operation.attempt = attempt;
        return operation;
    }
    BuildContext context() const {
        BuildContext context;
        context.now = now_;
        context.max_writes = 10;
        context.own_leader_term = [](std::uint32_t) { return std::optional<Term>(own_term); };
        return context;
    }
    BuiltTransaction build(std::vector<PendingOperation> operations, BuildContext context) const {
        TransactionBuilder builder(*cache_, settings_, std::move(context));
        builder.add_page({job_id, 0}, std::move(operations));
        return std::move(builder).finish();
    }
    BuiltTransaction build(std::vector<PendingOperation> operations) const {
        return build(std::move(operations), context());
    }
    static std::vector<std::string> condition_keys(const BuiltTransaction& built) {
        std::vector<std::string> names;
        for (const auto& condition : built.transaction.conditions) names.push_back(condition.key);
        return names;
    }
    static std::vector<std::string> written_keys(const BuiltTransaction& built) {
        std::vector<std::string> names;
        for (const auto& write : built.transaction.writes) names.push_back(write.key);
        return names;
    }
    // The only notice, which must be of an operation that is over without a write.
    static bool settled_as_committed(const BuiltTransaction& built) {
        EXPECT_EQ(built.notices.size(), 1U);
        EXPECT_TRUE(built.operations.empty());
        EXPECT_TRUE(built.transaction.writes.empty());
        const auto* settled = std::get_if<SettledOperation>(&built.notices.at(0));
        EXPECT_NE(settled, nullptr);
        return settled != nullptr && settled->is_committed;
    }

    const SteadyTime now_{seconds(100)};
    Settings settings_;
    Job job_;
    FakeStateObserver observer_;
    std::optional<StateCache> cache_;
};

using Names = std::vector<std::string>;

TEST_F(TransactionBuilderTest, StartNamesJobPageAndTerm) {
    load();
    const BuiltTransaction built = build({start(1, "m1")});
    EXPECT_EQ(condition_keys(built), (Names{"z/j/job-1", "z/t/job-1/0", "z/p/0"}));
    EXPECT_EQ(built.transaction.conditions.at(0).version, Revision{10});
    EXPECT_EQ(built.transaction.conditions.at(1).version, Revision{});
    EXPECT_EQ(built.transaction.conditions.at(2).version, own_term);
    ASSERT_EQ(written_keys(built), (Names{"z/t/job-1/0"}));
    EXPECT_EQ(*built.transaction.writes.at(0).value,
              records::encode_page({TaskState{}, placed(1, "m1"), TaskState{}}, 0));
    ASSERT_EQ(built.operations.size(), 1U);
    EXPECT_EQ(built.operations.at(0).operations.size(), 1U);
    EXPECT_TRUE(built.deferred_operations.empty());
    EXPECT_TRUE(built.notices.empty());
    EXPECT_FALSE(built.has_ends);
}

TEST_F(TransactionBuilderTest, ReleaseMakesItsTaskPendingAndKeepsTheAttempt) {
    load();
    load_page({placed(3, "m1"), TaskState{}, TaskState{}});
    const BuiltTransaction built = build({end(OperationKind::release, 0, 3, "m1")});
    EXPECT_TRUE(built.has_ends);
    ASSERT_EQ(written_keys(built), (Names{"z/t/job-1/0"}));
    TaskState tried;
    tried.attempt = 3;
    EXPECT_EQ(*built.transaction.writes.at(0).value,
              records::encode_page({tried, TaskState{}, TaskState{}}, 0));
}

TEST_F(TransactionBuilderTest, LastCompletionClosesTheJob) {
    load();
    load_page({placed(1, "m1"), done(), done()});
    const BuiltTransaction built = build({end(OperationKind::completion, 0, 1, "m1")});
    EXPECT_EQ(written_keys(built), (Names{"z/t/job-1/0", "z/j/job-1", "f/job-1"}));
    EXPECT_FALSE(built.transaction.writes.at(0).value);
    EXPECT_FALSE(built.transaction.writes.at(1).value);
    EXPECT_EQ(*built.transaction.writes.at(2).value, (Json{{"s", "done"}, {"n", 3}}));
}

TEST_F(TransactionBuilderTest, WhatIsSupersededIsSettledWithoutAWrite) {
    load();
    load_page({placed(2, "m1"), TaskState{}, TaskState{}});
    EXPECT_FALSE(settled_as_committed(build({end(OperationKind::release, 0, 1, "m2")})));
    EXPECT_FALSE(settled_as_committed(build({start(0, "m2")})));
    // A commit without an answer was carried out.
    EXPECT_TRUE(settled_as_committed(build({start(0, "m1")})));
}

TEST_F(TransactionBuilderTest, AnotherTermSettlesItsOperations) {
    load();
    PendingOperation of_old_term = start(0, "m1");
    of_old_term.term = Term{6};
    EXPECT_FALSE(settled_as_committed(build({of_old_term})));
    // A peer's term may be newer than what this node has read, not older.
    of_old_term.forwarded_request = ForwardedRequest{NodeName("n1"), 1};
    EXPECT_FALSE(settled_as_committed(build({of_old_term})));
    PendingOperation of_new_term = of_old_term;
    of_new_term.term = Term{8};
    const BuiltTransaction built = build({of_new_term});
    ASSERT_EQ(built.operations.size(), 1U);
    EXPECT_EQ(built.transaction.conditions.back().version, Term{8});
}

TEST_F(TransactionBuilderTest, TermsOfOneShardAreNotMixed) {
    load();
    PendingOperation of_newer_term = start(1, "m2");
    of_newer_term.term = Term{8};
    of_newer_term.forwarded_request = ForwardedRequest{NodeName("n1"), 1};
    const BuiltTransaction built = build({start(0, "m1"), of_newer_term});
    EXPECT_EQ(built.transaction.conditions.back().version, own_term);
    ASSERT_EQ(built.notices.size(), 1U);
    EXPECT_EQ(std::get<SettledOperation>(built.notices.at(0)).operation.task, 1U);
}

TEST_F(TransactionBuilderTest, StartOfACancelledJobOrWaitingTooLongIsSettled) {
    load();
    PendingOperation old = start(0, "m1");
    old.accepted_at = now_ - start_commit_timeout - Duration(1);
    EXPECT_FALSE(settled_as_committed(build({old})));
    cache_->mark_cancelled(job_id);
    EXPECT_FALSE(settled_as_committed(build({start(0, "m1")})));
}

TEST_F(TransactionBuilderTest, StartsOfALimitedTeamNameItsLockAndKeepItsQuota) {
    job_.spec.team = TeamName("limited");
    load();
    BuildContext context = this->context();
    context.team_lock = TeamLockToken{TeamName("limited"), Revision{5}};
    const BuiltTransaction built =
        build({start(0, "m1"), start(1, "m1"), start(2, "m1")}, std::move(context));
    EXPECT_EQ(built.transaction.conditions.at(0).key, "z/q/limited");
    EXPECT_EQ(built.transaction.conditions.at(0).version, Revision{5});
    ASSERT_EQ(built.operations.size(), 1U);
    EXPECT_EQ(built.operations.at(0).operations.size(), 2U);
    ASSERT_EQ(built.notices.size(), 1U);
    EXPECT_FALSE(std::get<SettledOperation>(built.notices.at(0)).is_committed);
}

// Guards against quota: a start whose job was unknown when it was queued came from a page's queue, and was
// committed without the team's lock.
TEST_F(TransactionBuilderTest, StartOfALimitedTeamIsRejectedWithoutItsLock) {
    job_.spec.team = TeamName("limited");
    load();
    EXPECT_FALSE(settled_as_committed(build({start(0, "m1")})));
    BuildContext of_another_team = context();
    of_another_team.team_lock = TeamLockToken{TeamName("free"), Revision{5}};
    EXPECT_FALSE(settled_as_committed(build({start(0, "m1")}, std::move(of_another_team))));
    load_page({placed(1, "m1"), {}, {}});
    const BuiltTransaction built = build({end(OperationKind::release, 0, 1, "m1")});
    EXPECT_EQ(built.operations.size(), 1U);  // an end needs no lock
}

TEST_F(TransactionBuilderTest, FirstStartBindsAOneZoneJob) {
    job_.spec.one_zone = true;
    job_.assigned_zone = "b";
    load();
    PendingOperation elsewhere = start(1, "m2");
    elsewhere.zone = "c";
    const BuiltTransaction built = build({start(0, "m1"), elsewhere});
    ASSERT_EQ(written_keys(built), (Names{"z/j/job-1", "z/t/job-1/0"}));
    EXPECT_EQ(records::decode_job(*built.transaction.writes.at(0).value)->assigned_zone, "a");
    ASSERT_EQ(built.notices.size(), 1U);
    EXPECT_EQ(std::get<SettledOperation>(built.notices.at(0)).operation.task, 1U);
}

TEST_F(TransactionBuilderTest, TermsThatFindNoPlaceAmongTheConditionsAreLeftOver) {
    settings_.controller_count = 64;
    settings_.strictest_limits.txn_ops = 2;  // eight conditions
    job_.spec.tasks = 40;
    load();
    std::vector<PendingOperation> operations;
    for (TaskIndex task = 0; task < 40; ++task)
        operations.push_back(start(task, ("m" + std::to_string(task)).c_str()));
    const BuiltTransaction built = build(std::move(operations));
    EXPECT_LE(built.transaction.conditions.size(), 8U);
    ASSERT_EQ(built.operations.size(), 1U);
    ASSERT_EQ(built.deferred_operations.size(), 1U);
    EXPECT_EQ(built.operations.at(0).operations.size() + built.deferred_operations.at(0).operations.size(),
              40U);
    EXPECT_TRUE(built.notices.empty());
}

TEST_F(TransactionBuilderTest, RoomEndsWithTheWritesAllowed) {
    load();
    BuildContext context = this->context();
    context.max_writes = 1;
    TransactionBuilder builder(*cache_, settings_, std::move(context));
    EXPECT_TRUE(builder.is_empty());
    EXPECT_TRUE(builder.can_add_page_of(job_id));
    builder.add_page({job_id, 0}, {start(0, "m1")});
    EXPECT_FALSE(builder.is_empty());
    EXPECT_FALSE(builder.can_add_page_of(job_id));
}

// Pages of the present size may be too large for the limits that the settings announce.
class LargePageTest : public TransactionBuilderTest {
  protected:
    LargePageTest() {
        settings_.strictest_limits.value_kb = 1;
        job_.spec.tasks = 40;
    }
    std::vector<PendingOperation> many_starts() const {
        std::vector<PendingOperation> operations;
        for (TaskIndex task = 1; task < 40; ++task)
            operations.push_back(start(task, "a-machine-with-a-name-of-some-length"));
        return operations;
    }
};

TEST_F(LargePageTest, IsWrittenWhileTheStoreTakesIt) {
    load();
    const BuiltTransaction built = build(many_starts());
    EXPECT_EQ(written_keys(built), (Names{"z/t/job-1/0"}));
    EXPECT_TRUE(built.notices.empty());
}

TEST_F(LargePageTest, GivesStartsUpWhereItCannotBecomeSmaller) {
    load();
    load_page([] {
        std::vector<TaskState> tasks(40);
        tasks[0] = placed(1, "m1");
        return tasks;
    }());
    BuildContext context = this->context();
    context.store_rejected_value = true;
    std::vector<PendingOperation> operations = many_starts();
    operations.push_back(end(OperationKind::release, 0, 1, "m1"));
    const BuiltTransaction built = build(std::move(operations), std::move(context));
    EXPECT_TRUE(built.operations.empty());
    EXPECT_TRUE(built.transaction.writes.empty());
    ASSERT_EQ(built.notices.size(), std::size_t{2} * 39);
    EXPECT_TRUE(std::holds_alternative<PageFull>(built.notices.at(0)));
    EXPECT_FALSE(std::get<SettledOperation>(built.notices.at(1)).is_committed);
    ASSERT_EQ(built.deferred_operations.size(), 1U);
    ASSERT_EQ(built.deferred_operations.at(0).operations.size(), 1U);
    EXPECT_EQ(built.deferred_operations.at(0).operations.at(0).kind, OperationKind::release);
}

TEST_F(LargePageTest, AsksForSmallerPagesFromTheFirstFormatLevelOn) {
    load();
    cache_->apply({keys::fleet_format_level, Json{{"format", 1U}}, Revision{21}});
    const BuiltTransaction built = build(many_starts());
    EXPECT_TRUE(built.operations.empty());
    EXPECT_TRUE(built.transaction.writes.empty());
    ASSERT_EQ(built.notices.size(), 1U);
    EXPECT_EQ(std::get<PageResizeNeeded>(built.notices.at(0)).job, job_id);
    ASSERT_EQ(built.deferred_operations.size(), 1U);
    EXPECT_EQ(built.deferred_operations.at(0).operations.size(), 39U);
}

}  // namespace
}  // namespace zincdyke::testing
