// The owner's side of the workers: check-ins, orders, leases, room, offers and starts.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/env.h"
#include "cluster/cluster.h"
#include "cluster/horizon.h"
#include "fleet/start_times.h"
#include "jobs/ledger.h"
#include "sched/logic.h"
#include "store/model.h"
#include "wire/json_api.h"
#include "wire/peer.h"

namespace zd {

class Fleet {
  public:
    using SendPeer = std::function<void(const NodeName&, wire::PeerMessage)>;
    Fleet(Env& env, const Settings& settings, Model& model, Cluster& cluster, const Horizon& horizon,
          Ledger& ledger, SendPeer send);
    void start();

    void check_in(const wire::Report& r, const Reply& reply);
    void on_ask(const wire::Ask& ask);
    void on_verdict(const wire::Verdict& v);
    void on_drain(const NodeName& from, const wire::Drain& d);
    void on_gone(const wire::Gone& g);
    void on_reserve(const wire::Reserve& m);
    // Addresses that other nodes or the cloud's list know, for announcing a new term.
    void on_beat(const wire::Beat& b);
    void on_sighted(const wire::Sighted& m);
    void on_part_gained(std::uint32_t part);
    std::vector<wire::MachineBeat> beats();
    struct Counts {
        std::uint64_t check_ins = 0, stale = 0, not_renewed = 0, asks = 0, offers = 0, rooms = 0, prompts = 0;
    };
    const Counts& counts() const { return counts_; }
    const StartTimes& start_times() const { return start_times_; }
    // What is placed on a machine changed; a job did.
    void on_placed(const MachineId& id);
    void on_jobs() {
        if (std::exchange(room_unknown_, false)) ++room_epoch_;
    }
    // Halts what runs of a cancelled job on our machines, without waiting for their next check-ins.
    void on_cancelled(const JobId& id);
    // Stops a task, with time to save if it can.
    void on_preempt(const wire::Preempt& p);

  private:
    struct Seen {
        wire::TaskPhase phase = wire::TaskPhase::fetching;
        Attempt attempt = 0;
        Mono since{};
    };
    // What became of an attempt that was committed to this machine.
    struct Told {
        std::uint64_t session = 0;  // of the worker, when it was last ordered or shown
        int answers = 0;            // that carried its run
        bool seen = false;          // the worker has shown it
    };
    struct Machine {
        std::string type, zone, address;
        bool spot = false;
        wire::ReportAge age;  // newest message
        Mono last_heard{};    // newest check-in received: its lease runs from there at the latest
        Mono first_known{};
        bool term_shown = false;        // it has shown our present term: no other's orders or answers count
        bool reported = false;          // under our present term, by check-in
        Term term_of_proof;             // the term for which term_shown holds
        std::map<TaskRef, Seen> tasks;  // active ones of the newest report
        std::set<std::pair<TaskRef, Attempt>>
            ended;  // and those it lists as ended: they take no room any more
        std::map<std::pair<TaskRef, Attempt>, Told> told;
        std::map<std::pair<TaskRef, Attempt>, StartProgress>
            starts;  // committed by this owner and not seen running yet
        // Reports may arrive while nothing gets back to the machine: that an answer was written proves
        // nothing. It hears us when it shows a term that only we can have told it, or reports to us twice on
        // end in one session (unanswered, it would have gone to another controller).
        bool hears = false;
        std::uint32_t token_count = 0;   // of its newest token under our present term
        Mono prompted{};                 // last asked to check in at once
        Mono last_good{};                // newest check-in of a machine that hears us
        std::uint64_t answered_seq = 0;  // newest check-in of this session that was answered
        // Judged lapsed under that term: what still comes of it is a late copy. Under a later term it may be
        // alive, since another owner may have renewed it between the two.
        std::uint64_t lapsed_session = 0;
        Term lapsed_term;
        bool over(std::uint64_t session, Term mine) const {
            return lapsed_term == mine && session <= lapsed_session;
        }
        std::optional<double> notice_s;
        Mono notice_at{};
        Mono blocked_until{};
        int errors = 0;
        std::set<JobId> error_jobs;
        bool draining = false;
        NodeName drain_for;
        Mono drain_since{};
        Mono idle_since{};
        // Its free room as last worked out; nothing, or of an older `room_epoch_`: to be worked out anew.
        std::optional<Room> free;
        std::uint64_t free_epoch = 0;
        Mono kept_since{};  // its room was refused to a later job for the sake of an earlier one
    };
    // A check-in whose answer waits a moment for the orders that its news will bring.
    struct Held {
        wire::Report report;
        Reply reply;
        Env::TimerId timer = 0;
    };
    // Room offered in one round, until its gatherer answers.
    struct Round {
        std::vector<MachineId> machines;  // one entry for each offer
        Room each;
        Mono until;
    };
    // What a machine's room is promised to. Kept by machine: a search through all holds for each machine of
    // each ask grew with the square of the fleet.
    struct Promised {
        Room held;
        std::map<TaskRef, Room> starting;  // said yes to, not yet committed
    };
    void hold(const wire::RoundId& round, const Room& each, const std::vector<wire::Offer>& offers);
    void let_go(const wire::RoundId& round);
    void start(const TaskRef& ref, const MachineId& id, const Room& room);
    void started(const TaskRef& ref);
    void renew(const wire::Report& r, Term mine, const std::vector<wire::Order>& orders, const Reply& reply);
    std::vector<wire::Order> halts_of_cancelled(const wire::Report& r) const;
    void send_halts();
    void answer(const MachineId& id);
    void deliver_soon(const MachineId& id);
    void prompt_check_in(const MachineId& id, Machine& m);
    bool starts_service(const MachineId& id, const Machine& m) const;
    wire::Token token_for(const MachineId& id, Term mine) const;
    bool worth_waiting(const MachineId& id, const Machine& m, const wire::Report& r) const;
    void take_report(Machine& m, const wire::Report& r, Term mine, bool checkin);
    std::vector<wire::Order> orders_for(const MachineId& id, Machine& m, const wire::Report& r, Term mine);
    bool placed_on(const MachineId& id, const wire::ReportedTask& t) const;
    std::optional<wire::Order> order_for_reported(const MachineId& id, Machine& m, const wire::Report& r,
                                                  const wire::ReportedTask& t, Term mine);
    std::optional<wire::Order> order_for_absent(const MachineId& id, Machine& m, const wire::Report& r,
                                                const TaskRef& ref, Term mine);
    void take_end(const MachineId& id, Machine& m, const wire::Report& r, const wire::ReportedTask& t,
                  Term mine);
    void forget_past_attempts(const MachineId& id, Machine& m);
    bool kept_from(const MachineId& id, const Job& job) const;
    TaskIndex replicas_on(const MachineId& id, const JobId& job) const;
    std::vector<sched::Candidate> candidates_for(const wire::Ask& ask, const Job& job,
                                                 const std::optional<std::string>& bound);
    Room free_room(const MachineId& id, Machine& m);
    Room work_out_room(const MachineId& id, const Machine& m) const;
    std::vector<const Job*> elders(const Job& j) const;
    void tell_freed(const MachineId& id, Machine& m);
    bool usable(const MachineId& id, const Machine& m) const;
    void note_error(const MachineId& id, Machine& m, const Job& failed);
    bool has_image(const MachineId& id, const Machine& m, const std::string& image) const;
    void announce(const MachineId& id);
    void announce_due();
    bool knows_us(const MachineId& id, Term mine) const;
    void sweep();
    void give_up_unheard();
    void answer_drain(const MachineId& id, Machine& m);
    bool empty(const MachineId& id, const Machine& m) const;
    Env& env_;
    const Settings& settings_;
    Model& model_;
    Cluster& cluster_;
    const Horizon& horizon_;
    Ledger& ledger_;
    SendPeer send_;
    std::unordered_map<MachineId, Machine> machines_;
    std::uint64_t room_epoch_ = 1;
    mutable bool room_unknown_ = false;  // some machine shows tasks of a job that has not been read yet
    Revision types_seen_;
    std::map<wire::RoundId, Round> holds_;
    std::unordered_map<MachineId, Promised> promised_;
    std::unordered_map<MachineId, Held> held_;
    std::map<TaskRef, MachineId> starting_;
    std::map<std::string, Room> freed_;  // by type, to be told in a moment
    std::map<MachineId, std::vector<wire::Order>>
        halts_;  // of cancelled jobs, to be sent straight to their machines
    std::size_t halting_ = 0;
    std::size_t prompting_ = 0;
    std::map<std::pair<TaskRef, Attempt>, Mono> stops_;  // asked to stop
    std::map<JobId, std::set<MachineId>> job_errors_;
    std::map<MachineId, sched::Reservation> reserved_;  // by the supplier's latest word
    Mono reserved_at_{};
    // Where a machine can be told of a new term. Kept for all parts, since a takeover may come at any time.
    struct Address {
        std::string where;
        std::uint64_t session = 1;
        Mono fresh{}, next_try{};
        int tries = 0;
        bool asking = false;
    };
    std::map<MachineId, Address> addresses_;
    std::size_t asking_ = 0;
    struct Hearing {
        Mono gained{}, heard{};
    };
    std::map<std::uint32_t, Hearing> hearing_;  // of the parts that are ours
    void note_committed(const TaskRef& ref, const MachineId& id, const StartProgress& assigned);
    void note_phase(const MachineId& id, Machine& m, const wire::ReportedTask& task, const Job& job);
    Counts counts_;
    StartTimes start_times_;
    // Returned machines, newest last: a late copy of a report must not bring one back.
    std::set<MachineId> gone_;
    std::deque<MachineId> gone_order_;
};

}  // namespace zd
