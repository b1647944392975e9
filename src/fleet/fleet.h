// The owner's side of the workers: check-ins, orders, leases, room, offers and starts.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/env.h"
#include "cluster/cluster.h"
#include "jobs/ledger.h"
#include "sched/logic.h"
#include "store/model.h"
#include "wire/json_api.h"
#include "wire/peer.h"

namespace zd {

class Fleet {
  public:
    using SendPeer = std::function<void(const NodeName&, wire::PeerMessage)>;
    Fleet(Env& env, const Settings& settings, Model& model, Cluster& cluster, Ledger& ledger, SendPeer send);
    void start();

    void check_in(const wire::Report& r, const Reply& reply);
    void on_ask(const wire::Ask& m);
    void on_verdict(const wire::Verdict& m);
    void on_drain(const NodeName& from, const wire::Drain& m);
    void on_gone(const wire::Gone& m);
    void on_reserve(const wire::Reserve& m);
    // Addresses that other nodes know, for announcing a new term.
    void on_beat(const wire::Beat& m);
    void on_part_gained(std::uint32_t part);
    std::vector<wire::MachineBeat> beats();
    // Stops a task, with time to save if it can.
    void on_preempt(const wire::Preempt& m);

  private:
    struct Seen {
        wire::TaskPhase phase = wire::TaskPhase::fetching;
        Attempt attempt = 0;
        Mono since{};
    };
    struct Machine {
        std::string type, zone, address;
        bool spot = false;
        wire::ReportAge age;             // newest message
        Mono last_heard{};               // newest check-in received: its lease runs from there at the latest
        Mono first_known{};
        bool term_shown = false;         // it has shown our present term: no other's orders or answers count
        bool reported = false;           // under our present term, by check-in
        Term term_of_proof;              // the term for which term_shown holds
        std::map<TaskRef, Seen> tasks;   // active ones of the newest report
        std::set<std::pair<TaskRef, Attempt>> met;  // placed attempts seen on it in this session
        std::optional<double> notice_s;
        Mono notice_at{};
        std::deque<std::string> images;  // most recent first
        Mono blocked_until{};
        int errors = 0;
        std::set<JobId> error_jobs;
        bool draining = false;
        NodeName drain_for;
        Mono drain_since{};
        Mono idle_since{};
    };
    // A check-in whose answer waits a moment for the orders that its news will bring.
    struct Held {
        wire::Report report;
        Reply reply;
        Env::TimerId timer = 0;
    };
    struct Hold {
        wire::RoundId round;
        MachineId machine;
        Room room;
        Mono until;
    };
    void answer(const MachineId& id);
    void answer_soon(const MachineId& id);
    bool worth_waiting(const MachineId& id, const Machine& m, const wire::Report& r) const;
    void take_report(Machine& m, const wire::Report& r, Term mine, bool checkin);
    std::vector<wire::Order> orders_for(const MachineId& id, Machine& m, const wire::Report& r, Term mine);
    Room free_room(const MachineId& id, const Machine& m) const;
    bool usable(const MachineId& id, const Machine& m) const;
    void note_error(const MachineId& id, Machine& m, const JobId& job);
    void note_image(Machine& m, const std::string& image);
    void announce(const MachineId& id, const std::string& address, std::uint64_t session, int tries);
    void sweep();
    void answer_drain(const MachineId& id, Machine& m);
    bool empty(const MachineId& id, const Machine& m) const;
    Env& env_;
    const Settings& settings_;
    Model& model_;
    Cluster& cluster_;
    Ledger& ledger_;
    SendPeer send_;
    std::unordered_map<MachineId, Machine> machines_;
    std::vector<Hold> holds_;
    std::unordered_map<MachineId, Held> held_;
    std::map<TaskRef, std::pair<MachineId, Room>> starting_;  // said yes to, not yet committed
    std::map<std::pair<TaskRef, Attempt>, Mono> stops_;       // asked to stop
    std::map<JobId, std::set<MachineId>> job_errors_;
    std::map<MachineId, sched::Reservation> reserved_;  // by the supplier's latest word
    Mono reserved_at_{};
    std::map<MachineId, std::pair<std::string, std::uint64_t>> addresses_;
};

}  // namespace zd
