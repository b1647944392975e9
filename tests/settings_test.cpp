// Settings: parsing, errors, and how sockets are divided.
#include "base/settings.h"

#include <gtest/gtest.h>

#include <string>

#include "valid_settings.h"

namespace zincdyke {
namespace {

TEST(Settings, ErrorNamesTheMissingOrInvalidKey) {
    EXPECT_EQ(parse_settings(valid_settings).store_limits.txn_ops, 8U);
    std::string text = valid_settings;
    for (const char* line :
         {"node = \"n0\"", "lease_s = 10.0", "txn_ops = 8", "api_addr = \"10.0.0.1:8080\""}) {
        std::string without = text;
        without.erase(without.find(line), std::string(line).size());
        std::string key = std::string(line).substr(0, std::string(line).find(' '));
        try {
            parse_settings(without);
            ADD_FAILURE() << key;
        } catch (const SettingsError& e) {
            EXPECT_NE(std::string(e.what()).find(key), std::string::npos);
        }
    }
    std::string bad = text;
    bad.replace(bad.find("10.0.0.1:8080"), 13, "10.0.0.1:99999");
    EXPECT_THROW(parse_settings(bad), SettingsError);
    bad = text;
    bad.replace(bad.find("lease_s = 10.0"), 14, "lease_s = \"x\"");
    EXPECT_THROW(parse_settings(bad), SettingsError);
    EXPECT_THROW(parse_settings("node = "), SettingsError);
}

// The key-value store's next limits: the lower of each holds; absent, today's do; a wrong one is named.
TEST(Settings, NextStoreLimitsAreParsed) {
    const std::string next = "[params.state.next]\nwrite_rps = 18.0\nvalue_kb = 16.0\ntxn_ops = 2\n";
    const Settings s = parse_settings(valid_settings + next);
    EXPECT_EQ(s.strictest_limits.write_rps, 18);
    EXPECT_EQ(s.strictest_limits.value_kb, 8);
    EXPECT_EQ(s.strictest_limits.max_conditions(), 8U);
    EXPECT_EQ(s.store_limits.txn_ops, 8U);
    EXPECT_EQ(parse_settings(valid_settings).strictest_limits.write_rps, 25);
    for (const auto& [line, wrong] :
         {std::pair{"txn_ops = 2", "txn_ops = 1"}, std::pair{"value_kb = 16.0", "value_kb = \"x\""},
          std::pair{"write_rps = 18.0", ""}}) {
        std::string bad = valid_settings + next;
        bad.replace(bad.rfind(line), std::string(line).size(), wrong);
        const std::string key =
            "params.state.next." + std::string(line).substr(0, std::string(line).find(' '));
        try {
            parse_settings(bad);
            ADD_FAILURE() << key;
        } catch (const SettingsError& e) {
            EXPECT_NE(std::string(e.what()).find(key), std::string::npos) << e.what();
        }
    }
}

// What users and workers may hold is what our own calls leave, at any valid number of sockets and
// controllers.
TEST(Settings, SocketsAreDividedAmongUses) {
    Settings s = parse_settings(valid_settings);
    for (const std::uint32_t sockets : {32U, 900U, 3194U, 10'000'000U})
        for (const std::size_t peers : {0U, 2U, 6U, 40U}) {
            s.max_sockets = sockets;
            s.seeds.assign(peers, Seed{NodeName("n9"), "a", "10.0.0.9:1"});
            const auto share = s.sockets();
            for (const std::size_t n : {share.store, share.cloud, share.workers, share.server})
                EXPECT_GE(n, 2U);
            if (sockets >= 900) {
                EXPECT_LE(share.store + share.cloud + share.workers + share.peers + share.server, sockets);
            }
        }
    // All workers of the largest deployment known may come to one controller.
    s.max_sockets = 2991;
    s.seeds.resize(2);
    EXPECT_GT(s.sockets().server, 2000U);
}

}  // namespace
}  // namespace zincdyke
