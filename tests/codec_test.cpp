// Decoders of frames, HTTP and JSON: valid input is read, damaged input is rejected and never worse.
#include <gtest/gtest.h>

#include <random>
#include <string>

#include "loop/http_message.h"
#include "wire/json_api.h"
#include "wire/peer_messages.h"

namespace zincdyke {
namespace {

TEST(PeerMessages, RoundTrip) {
    wire::PlacementRequest a{{NodeName("n1"), 7}, JobId("job-1"), NodeName("n2"),   3,
                             {1000, 0, 5},        "img",          wire::Rank::high, {1, 2, 99}};
    std::string frame = wire::encode(a);
    auto m = wire::decode(std::string_view(frame).substr(wire::peer_header_bytes));
    ASSERT_TRUE(m);
    const auto& b = std::get<wire::PlacementRequest>(*m);
    EXPECT_EQ(b.round, a.round);
    EXPECT_EQ(b.tasks, a.tasks);
    EXPECT_EQ(b.need, a.need);
    EXPECT_EQ(b.rank, a.rank);
}

// Truncated, changed and random bytes are refused or decode to something: never more than that.
TEST(PeerMessages, SurviveMutation) {
    std::mt19937_64 rng(5);
    wire::PeerHeartbeat beat{{5, 6, 7, 8, true, true, {JobId("job-1"), JobId("job-22")}},
                             true,
                             9,
                             3,
                             {{MachineId("host-1"), "t", "z", "1.2.3.4:5", true, true, false, 3, 1, 2, 3}}};
    wire::PlacementResponse offers{
        {NodeName("n"), 1}, JobId("job-2"), NodeName("m"), 3, true, {0, 1}, {{MachineId("host-2"), "z", -5}}};
    wire::CommitRequest settle{
        JobId("job-3"),
        {{0, 7, 2, MachineId("host-3"), "z", 41, 9}, {2, 8, 1, MachineId("host-4"), "", 41, 10}}};
    wire::CommitResponse settled{{{9, true}, {10, false}},
                                 {{"z/t/job-3/0", R"({"p":[[7,2,"host-3"]]})", 42}, {"z/j/job-3", "", 42}}};
    wire::ReservationUpdate reserve{true,
                                    {{MachineId("host-5"), "c", wire::Rank::high, 5000, JobId("job-4")}}};
    int refused = 0;
    for (const wire::PeerMessage& m :
         {wire::PeerMessage(beat), wire::PeerMessage(offers), wire::PeerMessage(settle),
          wire::PeerMessage(settled), wire::PeerMessage(reserve)}) {
        std::string frame = wire::encode(m).substr(wire::peer_header_bytes);
        for (std::size_t n = 0; n < frame.size(); ++n)
            EXPECT_FALSE(wire::decode(std::string_view(frame).substr(0, n)));
        EXPECT_FALSE(wire::decode(frame + "x"));
        for (int i = 0; i < 3000; ++i) {
            std::string bad = frame;
            for (int k = 0; k < 3; ++k) bad[rng() % bad.size()] = static_cast<char>(rng());
            if (!wire::decode(bad)) ++refused;
        }
    }
    EXPECT_GT(refused, 100);
}

TEST(HttpParser, AcceptsBytewiseInputAndSurvivesMutation) {
    const std::string text = "POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd";
    HttpMessageParser p(HttpMessageParser::Kind::request, max_request_body_bytes);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::size_t used = 0;
        auto s = p.feed(std::string_view(text).substr(i, 1), used);
        EXPECT_EQ(s == HttpMessageParser::State::complete, i + 1 == text.size());
    }
    EXPECT_EQ(p.body, "abcd");
    EXPECT_EQ(p.target, "/api/jobs");
    HttpMessageParser big(HttpMessageParser::Kind::request, max_request_body_bytes);
    std::size_t used = 0;
    EXPECT_EQ(big.feed("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", used),
              HttpMessageParser::State::too_large);
    std::mt19937_64 rng(6);
    int broken = 0;
    for (int i = 0; i < 3000; ++i) {
        std::string bad = text;
        for (int k = 0; k < 2; ++k) bad[rng() % bad.size()] = static_cast<char>(rng());
        HttpMessageParser q(HttpMessageParser::Kind::request, max_request_body_bytes);
        if (q.feed(bad, used) == HttpMessageParser::State::malformed) ++broken;
    }
    EXPECT_GT(broken, 100);
}

TEST(JsonApi, HeartbeatsSurviveMutation) {
    const std::string text =
        R"({"werf":"host-1","address":"10.1.0.1:9000","breed":"g8","field":"a","loaners":true,"tenure":1,"tick":88,)"
        R"("baton":41,"warning_s":null,"shards":[{"shard":"job-1/3","try":2,"phase":"ended","cause":"done"}]})";
    auto r = wire::parse_heartbeat(text);
    ASSERT_TRUE(r);
    EXPECT_EQ(r->tasks.at(0).cause, wire::ExitCause::done);
    EXPECT_EQ(r->tasks.at(0).task.task, 3U);
    std::mt19937_64 rng(7);
    int refused = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string bad = text;
        for (int k = 0; k < 2; ++k) bad[rng() % bad.size()] = static_cast<char>(rng() % 128);
        if (!wire::parse_heartbeat(bad)) ++refused;
    }
    EXPECT_GT(refused, 100);
}

}  // namespace
}  // namespace zincdyke
