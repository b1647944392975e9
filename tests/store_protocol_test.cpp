// The key-value store's HTTP interface.
#include "store/store_protocol.h"

#include <gtest/gtest.h>

#include "store/records.h"

namespace zincdyke::testing {
namespace {

HttpResponse answer(int status, std::string body = "") { return {status, std::move(body), -1}; }

TEST(StoreProtocol, OutcomeTellsWhetherItMayHaveBeenCarriedOut) {
    const std::pair<int, Outcome> cases[] = {
        {200, Outcome::ok},           {404, Outcome::not_found},       {409, Outcome::conflict},
        {429, Outcome::not_executed}, {503, Outcome::not_executed},    {0, Outcome::unknown},
        {500, Outcome::unknown},      {400, Outcome::invalid_request}, {410, Outcome::invalid_request},
    };
    for (const auto& [status, outcome] : cases)
        EXPECT_EQ(store_protocol::parse_outcome(answer(status)), outcome) << status;
}

TEST(StoreProtocol, AnswerThatCannotBeReadCountsAsNone) {
    EXPECT_EQ(store_protocol::parse_get(answer(200, "{")).outcome, Outcome::unknown);
    EXPECT_EQ(store_protocol::parse_get(answer(200, R"({"value":1})")).outcome, Outcome::unknown);
    EXPECT_EQ(store_protocol::parse_commit(answer(200, "{}")).outcome, Outcome::unknown);
    EXPECT_EQ(store_protocol::parse_commit(answer(409, "")).outcome, Outcome::unknown);
    EXPECT_EQ(store_protocol::parse_lease(answer(200, "{}")).outcome, Outcome::unknown);
    EXPECT_EQ(store_protocol::parse_get(answer(404, "")).outcome, Outcome::not_found);
}

TEST(StoreProtocol, Commit) {
    Transaction txn;
    txn.conditions = {{"z/j/a", Revision{3}}, {"f/a", Revision{}}};
    txn.writes = {{"z/j/a", Json{{"x", true}}, std::nullopt},
                  {"z/n/n1", Json::object(), 9},
                  {"z/t/a/0", std::nullopt, std::nullopt}};
    const HttpRequest request = store_protocol::commit_request(txn);
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.path, "/commit");
    EXPECT_EQ(request.body, R"({"if":[{"key":"z/j/a","stamp":3},{"key":"f/a","stamp":0}],"writes":[)"
                            R"({"set":"z/j/a","value":{"x":true}},{"set":"z/n/n1","tether":9,"value":{}},)"
                            R"({"delete":"z/t/a/0"}]})");
    EXPECT_EQ(store_protocol::parse_commit(answer(200, R"({"epoch":7})")).revision, Revision{7});
    const CommitResult conflict = store_protocol::parse_commit(answer(409, R"({"failed":["z/j/a",5]})"));
    EXPECT_EQ(conflict.outcome, Outcome::conflict);
    EXPECT_EQ(conflict.failed_keys, std::vector<std::string>{"z/j/a"});
}

TEST(StoreProtocol, Reads) {
    EXPECT_EQ(store_protocol::get_request("z/j/a").path, "/store/z/j/a");
    EXPECT_EQ(store_protocol::list_request("z/", "").path, "/store?prefix=z/&most=1000");
    EXPECT_EQ(store_protocol::list_request("z/", "z/j/a").path, "/store?prefix=z/&most=1000&after=z/j/a");
    EXPECT_EQ(store_protocol::watch_request("z/", Revision{5}, seconds(2)).path,
              "/watch?prefix=z/&after=5&hold_ms=2000");
    const GetResult record = store_protocol::parse_get(answer(200, R"({"stamp":4,"value":{"x":true}})"));
    EXPECT_EQ(record.version, Revision{4});
    EXPECT_EQ(record.value, (Json{{"x", true}}));
    EXPECT_EQ(store_protocol::parse_get(answer(404, R"({"epoch":8})")).version, Revision{8});
    const ListResult list = store_protocol::parse_list(
        answer(200, R"({"epoch":9,"has_next":true,"items":[{"key":"z/s","stamp":2,"value":{}}]})"));
    EXPECT_TRUE(list.has_more);
    EXPECT_EQ(list.revision, Revision{9});
    ASSERT_EQ(list.items.size(), 1U);
    EXPECT_EQ(list.items[0].key, "z/s");
    EXPECT_EQ(list.items[0].version, Revision{2});
}

TEST(StoreProtocol, Watch) {
    const ListResult changes = store_protocol::parse_watch(
        answer(200, R"({"epoch":9,"news":[{"set":"a","value":{},"stamp":8},{"delete":"b","stamp":9}]})"));
    ASSERT_EQ(changes.items.size(), 2U);
    EXPECT_EQ(changes.items[0].key, "a");
    EXPECT_TRUE(changes.items[0].value.has_value());
    EXPECT_EQ(changes.items[1].key, "b");
    EXPECT_FALSE(changes.items[1].value.has_value());
    EXPECT_TRUE(store_protocol::parse_watch(answer(410)).is_compacted);
    EXPECT_EQ(store_protocol::parse_watch(answer(410)).outcome, Outcome::invalid_request);
}

TEST(StoreProtocol, Leases) {
    EXPECT_EQ(store_protocol::grant_lease_request(seconds(3)).body, R"({"life_ms":3000})");
    EXPECT_EQ(store_protocol::parse_lease(answer(200, R"({"tether":12})")).id, 12U);
    EXPECT_EQ(store_protocol::renew_lease_request(12).path, "/grants/12/touch");
}

// The short records, byte by byte.
TEST(Records, OfControllersTeamsAndEnds) {
    EXPECT_EQ(records::encode_shard_leader(NodeName("n1"), Revision{5}).dump(), R"({"inc":5,"owner":"n1"})");
    EXPECT_EQ(records::encode_team_lock_holder(NodeName("n1")).dump(), R"({"node":"n1"})");
    EXPECT_EQ(records::encode_autoscaler_leader(NodeName("n1")).dump(), R"({"node":"n1"})");
    EXPECT_EQ(records::encode_format_level(1).dump(), R"({"format":1})");
    EXPECT_EQ(records::encode_final_state({true, 16}).dump(), R"({"n":16,"s":"done"})");
    EXPECT_EQ(records::encode_final_state({false, 0}).dump(), R"({"s":"withdrawn"})");
    EXPECT_EQ(records::decode_shard_leader(Json{{"owner", "n1"}}), NodeName("n1"));
    EXPECT_EQ(records::decode_format_level(Json::parse(R"({"format":1})")), 1U);
    EXPECT_EQ(records::decode_format_level(records::encode_format_level(1)), 1U);
    EXPECT_EQ(records::decode_format_level(Json::parse(R"({"format":-1})")), std::nullopt);
    EXPECT_EQ(records::decode_format_level(Json::parse(R"({"format":"1"})")), std::nullopt);
    EXPECT_EQ(records::decode_format_level(Json::array()), std::nullopt);
    EXPECT_TRUE(records::decode_final_state(Json{{"s", "done"}, {"n", 16}}).is_done);
    EXPECT_FALSE(records::decode_final_state(Json::object()).is_done);
}

}  // namespace
}  // namespace zincdyke::testing
