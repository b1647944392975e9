// The client's own limit on requests to the key-value store.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "store/store_client.h"
#include "valid_settings.h"

namespace zincdyke {
namespace {

// An environment that records the HTTP requests made and does nothing else.
class RecordingEnv : public Env {
  public:
    SteadyTime now() override { return SteadyTime(std::chrono::seconds(1000)); }
    WallTime wall() override { return {}; }
    TimerId after(Duration, std::function<void()>) override { return ++timers_; }
    void cancel(TimerId) override {}
    void http(const std::string&, HttpRequest req, Duration, Reply) override { paths.push_back(req.path); }
    void send_peer(const NodeName&, std::string) override {}
    std::mt19937_64& rng() override { return rng_; }
    std::vector<std::string> paths;

  private:
    TimerId timers_ = 0;
    std::mt19937_64 rng_{1};
};

// Decisions may ask for more than there is: questions about jobs have a share that these can't take.
TEST(StoreRateLimit, ReadsForUsersHaveAReservedShare) {
    RecordingEnv env;
    const Settings settings = parse_settings(valid_settings);
    StoreClient store(env, settings);
    for (int i = 0; i < 300; ++i)
        store.get("z/t/job-1/" + std::to_string(i), RequestPriority::decision, [](const GetResult&) {});
    const std::size_t before = env.paths.size();
    EXPECT_LT(before, 200U);
    for (int i = 0; i < 30; ++i)
        store.get("z/j/job-" + std::to_string(i), RequestPriority::user, [](const GetResult&) {});
    EXPECT_EQ(env.paths.size(), before + 30);
    EXPECT_EQ(env.paths.back(), "/store/z/j/job-29");
}

}  // namespace
}  // namespace zincdyke
