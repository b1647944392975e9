// The pure functions of placement: ranking of machines, choice among responses, order of jobs.
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "sched/placement_rules.h"

namespace zincdyke {
namespace {

// A job of one zone, bound to none yet, gets the zone that can take most of it; a gang only one that takes it
// whole.
TEST(PlacementDecision, OneZoneJobGetsTheZoneThatTakesMost) {
    std::mt19937_64 rng(1);
    auto offer = [](const char* m, const char* z, std::int64_t score) {
        return sched::ScoredOffer{{MachineId(m), z, score}, NodeName("n")};
    };
    const std::vector<sched::ScoredOffer> offers{offer("host-1", "a", 900), offer("host-2", "b", 10),
                                                 offer("host-3", "b", 20), offer("host-4", "a", 5),
                                                 offer("host-5", "b", 1)};
    auto yes = sched::choose_offers(offers, {0, 1, 2}, true, std::nullopt, rng, true);
    ASSERT_EQ(yes[NodeName("n")].size(), 3U);
    for (const auto& a : yes[NodeName("n")])
        EXPECT_TRUE(a.machine != MachineId("host-1") && a.machine != MachineId("host-4"));
    // Both zones can take the tasks: the one with the better scores is chosen.
    yes = sched::choose_offers(offers, {0, 1}, true, std::nullopt, rng, true);
    ASSERT_EQ(yes[NodeName("n")].size(), 2U);
    EXPECT_EQ(yes[NodeName("n")][0].machine, MachineId("host-1"));
    yes = sched::choose_offers(offers, {0, 1, 2, 3}, true, std::nullopt, rng, true);
    EXPECT_TRUE(yes.empty());
}

// What fits few types goes first there; one with a choice is not held up by it anywhere else.
TEST(PlacementDecision, JobsWithFewerMachineTypesComeFirst) {
    wire::MachineType small{"small", {4000, 0, 32000}, 30, 0.2, 0.18, 0.07, 30, {"a"}};
    wire::MachineType large{"large", {64000, 0, 256000}, 30, 0.2, 2.2, 0.9, 20, {"a"}};
    wire::MachineType gpu{"gpu", {24000, 2000, 96000}, 30, 1.0, 4.2, 2.0, 60, {"a"}};
    const std::vector<wire::MachineType> types{small, large, gpu};
    wire::JobSpec fits_all, fits_large, wants_gpu;
    fits_all.need = {3900, 0, 11000};
    fits_large.need = {4100, 0, 11000};
    wants_gpu.need = {4000, 1000, 11000};
    EXPECT_TRUE(sched::has_fewer_types(fits_large, fits_all, types));
    EXPECT_FALSE(sched::has_fewer_types(fits_all, fits_large, types));
    EXPECT_FALSE(sched::has_fewer_types(fits_all, fits_all, types));
    EXPECT_FALSE(sched::has_fewer_types(wants_gpu, fits_all, types));
}

TEST(PlacementDecision, PrefersCachedImageThenFreeCapacity) {
    std::vector<sched::Candidate> c{{MachineId("small"), "a", {2000, 0, 4000}, {4000, 0, 8000}, false, 0},
                                    {MachineId("holder"), "a", {1000, 0, 4000}, {4000, 0, 8000}, true, 0},
                                    {MachineId("roomy"), "a", {4000, 0, 8000}, {4000, 0, 8000}, false, 0}};
    auto offers = sched::make_offers(c, {1000, 0, 1000}, 10);
    ASSERT_EQ(offers.size(), 7U);  // 1 + 2 + 4 CPUs
    EXPECT_EQ(offers[0].machine.value(), "holder");
    EXPECT_EQ(offers[1].machine.value(), "roomy");
}

TEST(PlacementDecision, GangIsPlacedAsAWholeOrNotAtAll) {
    std::mt19937_64 rng(1);
    std::vector<sched::ScoredOffer> offers{{{MachineId("m1"), "a", 5}, NodeName("x")},
                                           {{MachineId("m2"), "a", 9}, NodeName("y")}};
    EXPECT_TRUE(sched::choose_offers(offers, {0, 1, 2}, true, {}, rng).empty());
    auto yes = sched::choose_offers(offers, {0}, true, {}, rng);
    ASSERT_TRUE(yes.contains(NodeName("y")));
    EXPECT_EQ(yes[NodeName("y")][0].machine.value(), "m2");
}

}  // namespace
}  // namespace zincdyke
