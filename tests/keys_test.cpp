// Keys of the key-value store: what is made can be read back.
#include "store/keys.h"

#include <gtest/gtest.h>

namespace zincdyke::testing {
namespace {

using keys::RecordKind;

struct KeyCase {
    std::string key;
    RecordKind kind;
    std::string name;
    std::optional<std::uint32_t> number;
};

TEST(Keys, AreReadBack) {
    const JobId job("job-7");
    const KeyCase cases[] = {
        {keys::job(job), RecordKind::job, "job-7", {}},
        {keys::page(job, 12), RecordKind::standard_page, "job-7", 12},
        {keys::small_page(job, 3), RecordKind::small_page, "job-7", 3},
        {keys::final_state(job), RecordKind::final_state, "job-7", {}},
        {keys::node(NodeName("n1")), RecordKind::node, "n1", {}},
        {keys::shard(4), RecordKind::shard, "", 4},
        {keys::team_lock(TeamName("blue")), RecordKind::team_lock, "blue", {}},
        {keys::supported_format_level(NodeName("n1")), RecordKind::supported_format_level, "n1", {}},
        {keys::fleet_format_level, RecordKind::fleet_format, "", {}},
        {keys::autoscaler_leader, RecordKind::autoscaler, "", {}},
        {keys::machine_types, RecordKind::machine_type_list, "", {}},
    };
    for (const KeyCase& expected : cases) {
        const keys::ParsedKey parsed = keys::parse(std::string_view(expected.key));
        EXPECT_EQ(parsed.kind, expected.kind) << expected.key;
        EXPECT_EQ(parsed.name, expected.name) << expected.key;
        EXPECT_EQ(parsed.number, expected.number) << expected.key;
        EXPECT_EQ(keys::is_watched(expected.key), expected.kind != RecordKind::final_state) << expected.key;
    }
}

// Names may hold what separates the parts of other keys.
TEST(Keys, NameOfAPageEndsAtTheLastSlash) {
    const std::string key = keys::page(JobId("a/b"), 0);
    EXPECT_EQ(keys::parse(std::string_view(key)).job(), JobId("a/b"));
    EXPECT_EQ(keys::job_of_page(key), JobId("a/b"));
    EXPECT_EQ(keys::job_of_page(keys::job(JobId("a/b"))), JobId());
}

TEST(Keys, OfOtherVersionsAreLeftAlone) {
    for (const char* key : {"", "z", "z/", "z/s2", "z/k/1", "other"})
        EXPECT_EQ(keys::parse(std::string_view(key)).kind, RecordKind::other) << key;
    for (const char* key : {"z/t/", "z/t/job", "z/r//3"}) EXPECT_TRUE(keys::job_of_page(key).empty()) << key;
    for (const char* key : {"z/t/job/", "z/t/job/x", "z/t/job/1x", "z/t/job/99999999999", "z/p/", "z/p/-1"})
        EXPECT_EQ(keys::parse(std::string_view(key)).number, std::nullopt) << key;
}

}  // namespace
}  // namespace zincdyke::testing
