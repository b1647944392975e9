// What the stories share: jobs by number, users who poll to the end, and the verdict.
#pragma once
#include <gtest/gtest.h>

#include "world.h"

namespace zincdyke::testing {

inline std::string id_of(int n) {
    char b[32];
    std::snprintf(b, sizeof b, "job-%06d", n);
    return b;
}

// Polls as users do until each job's final state is told; false when that takes longer than `most`.
inline bool told_all(World& w, const std::vector<std::string>& ids, double most) {
    double end = w.now() + most;
    for (;;) {
        bool all = true;
        for (const auto& id : ids) {
            if (w.told(id) == "done" || w.told(id) == "withdrawn") continue;
            all = false;
            if (w.accepted(id)) w.poll(id);
        }
        if (all) return true;
        if (w.now() > end) {
            for (const auto& id : ids)
                if (w.told(id) != "done" && w.told(id) != "withdrawn")
                    ADD_FAILURE() << id << " accepted " << w.accepted(id) << " told '" << w.told(id)
                                  << "' state service: "
                                  << (w.store.data.contains("z/j/" + id)
                                          ? w.store.data["z/j/" + id].first.dump()
                                          : "-")
                                  << (w.store.data.contains("z/t/" + id + "/0")
                                          ? w.store.data["z/t/" + id + "/0"].first.dump()
                                          : "-")
                                  << w.store.data.contains("f/" + id) << " asked directly: " <<
                        [&] {
                            std::string answers;
                            for (int n = 0; n < w.nodes(); ++n)
                                answers +=
                                    w.up(n) ? std::to_string(w.ask(n, "GET", "/api/jobs/" + id).status) + " "
                                            : "down ";
                            return answers;
                        }() << (w.cancelling(id) ? "its cancellation was never answered" : "");
            return false;
        }
        w.run(2);
    }
}

inline void expect_rules(World& w) {
    w.checker.finish();
    for (const auto& b : w.checker.broken) ADD_FAILURE() << b;
    EXPECT_EQ(w.store.oversize, "");
}

inline std::vector<std::string> submit_some(World& w, int first, int jobs, int tasks, double run_s = 6) {
    std::vector<std::string> ids;
    for (int i = 0; i < jobs; ++i) {
        ids.push_back(id_of(first + i));
        w.submit(w.job(ids.back(), tasks, 1, run_s));
    }
    return ids;
}

// After the troubles: all is told its end, in time, no room stood idle, and every rule held.
inline void expect_recovery(World& w, const std::vector<std::string>& ids, double most = 200) {
    w.checker.troubles_over = w.now();
    EXPECT_TRUE(told_all(w, ids, most));
    w.checker.judge_service();
    expect_rules(w);
}

inline World::Options seeded(std::uint64_t seed, std::vector<std::string> zones = {"a"}) {
    World::Options o;
    o.seed = seed;
    o.zones = std::move(zones);
    return o;
}

}  // namespace zincdyke::testing
