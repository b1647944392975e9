// The elected supplier: rents for the waiting work, gives up slow boots, returns what is idle or silent.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/env.h"
#include "cloud/cloud.h"
#include "cluster/cluster.h"
#include "policy/policy.h"
#include "store/model.h"
#include "store/store.h"
#include "supply/plan.h"
#include "wire/peer.h"

namespace zd {

class Supply {
  public:
    using SendPeer = std::function<void(const NodeName&, wire::PeerMessage)>;
    Supply(Env& env, const Settings& settings, const Policy& policy, StoreClient& store, Model& model,
           Cluster& cluster, CloudClient& cloud, SendPeer send);
    void start();
    void on_beat(const NodeName& from, const wire::Beat& b);
    void on_drained(const wire::Drained& m);
    void on_gone(const wire::Gone& m);

  private:
    struct Rented {
        std::string type, zone;
        bool spot = false;
        wire::MachinePhase phase = wire::MachinePhase::booting;
        Mono first_seen{}, last_listed{};
        double age_s = 0;  // at first_seen
        bool ever_up = false, returning = false;
        std::string address;   // by the cloud's list
        Mono unheard_since{};  // listed as running, and no controller hears it
        Mono drain_asked{};
    };
    struct Known {
        wire::MachineBeat beat;
        NodeName owner;
        Mono at{};
    };
    // Recent submissions of one class.
    struct Arrivals {
        static constexpr std::int64_t window_ms = 240'000;
        wire::JobSpec spec;  // of the latest
        std::optional<std::string> pin;
        struct Arrival {
            TaskIndex tasks = 0;
            std::string image;
        };
        std::map<std::pair<WallMs, JobId>, Arrival> times;
        WallMs first;
        void note(const wire::JobSpec& s, WallMs at, const std::optional<std::string>& zone);
        void forget(WallMs now);
        double window_s(WallMs now) const;
        std::map<std::string, double> image_shares() const;  // of its tasks
        double machines_per_s(WallMs now) const;             // tasks a second, a gang's counted one by one
    };
    void tick();
    void read_types();
    void read_list(const std::string& after, std::set<MachineId> seen);
    void plan();
    void reserve(supply::PlanInput& in);
    void reserve_for_gangs(supply::PlanInput& in, std::map<MachineId, sched::Reservation>& chosen);
    std::size_t make_room(const std::vector<std::pair<double, supply::Bin*>>& order, std::size_t n,
                          std::size_t waiting, const wire::JobSpec& spec, const sched::Reservation& r);
    void rent(const supply::Kind& k, std::uint32_t count);
    void give_back(std::vector<MachineId> machines, const char* why);
    void clean_strays();
    void tell_sighted();
    void tell_reserved();
    Env& env_;
    const Settings& settings_;
    const Policy policy_;
    StoreClient& store_;
    Model& model_;
    Cluster& cluster_;
    CloudClient& cloud_;
    SendPeer send_;
    bool active_ = false, listing_ = false, listed_ = false, noted_ = false;
    Mono active_since_{}, list_due_{}, types_due_{};
    std::map<MachineId, Rented> rented_;
    std::map<MachineId, Known> known_;
    std::map<MachineId, Mono> gone_;  // returned; lists may still show them
    std::map<supply::Kind, Mono> refused_until_;
    std::map<supply::Kind, std::uint32_t> renting_;
    std::uint64_t next_hire_ = 0;
    bool cleaning_ = false;
    std::map<std::string, Arrivals> arrivals_;
    std::map<MachineId, sched::Reservation> reserved_;
    // What stopping all of a machine's tasks for work of this rank would lose, in seconds; nothing when it
    // may not be.
    std::optional<double> loss_of(const MachineId& id, const sched::Reservation& r) const;
    void note_placed();
    std::map<std::pair<TaskRef, Attempt>, Mono> placed_since_;  // as this supplier saw it
    std::set<MachineId> drained_;         // empty by their owners' word, to be returned together
    std::map<MachineId, Mono> clearing_;  // its tasks were asked to make room
};

}  // namespace zd
