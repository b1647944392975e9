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
#include "cluster/cancellation_watermark.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "jobs/task_committer.h"
#include "sched/logic.h"
#include "store/state_cache.h"
#include "wire/json_api.h"
#include "wire/peer_messages.h"
#include "workers/start_times.h"

namespace zincdyke {

class WorkerManager {
  public:
    WorkerManager(Env& env, const Settings& settings, StateCache& model, ClusterCoordinator& cluster,
                  const CancellationWatermark& horizon, TaskCommitter& ledger, PeerChannel& peers);
    void start();

    void handle_heartbeat(const wire::Heartbeat& r, const Reply& reply);
    void on_placement_request(const wire::PlacementRequest& ask);
    void on_placement_decision(const wire::PlacementDecision& v);
    void on_drain_request(const NodeName& from, const wire::DrainRequest& d);
    void on_machines_terminated(const wire::MachinesTerminatedNotification& g);
    void on_reservation_update(const wire::ReservationUpdate& m);
    // Addresses that other nodes or the cloud's list know, for announcing a new term.
    void on_peer_heartbeat(const wire::PeerHeartbeat& b);
    void on_machines_discovered(const wire::MachinesDiscoveredNotification& m);
    void on_leadership_acquired(std::uint32_t part);
    std::vector<wire::MachineStatus> machine_statuses();
    struct Counts {
        std::uint64_t heartbeats = 0, stale_heartbeats = 0, leases_not_renewed = 0, placement_requests = 0,
                      offers = 0, capacity_computations = 0, heartbeat_requests = 0;
    };
    const Counts& counts() const { return counts_; }
    const StartTimes& start_times() const { return start_times_; }
    // What is placed on a machine changed; a job did.
    void on_placement_changed(const MachineId& id);
    void on_jobs_changed() {
        if (std::exchange(room_unknown_, false)) ++room_epoch_;
    }
    // Halts what runs of a cancelled job on our machines, without waiting for their next check-ins.
    void on_job_cancelled(const JobId& id);
    // Stops a task, with time to save if it can.
    void on_preemption_request(const wire::PreemptionRequest& p);

  private:
    struct Seen {
        wire::TaskPhase phase = wire::TaskPhase::fetching;
        Attempt attempt = 0;
        SteadyTime since{};
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
        wire::HeartbeatSequence sequence;  // newest message
        SteadyTime last_heard{};  // newest check-in received: its lease runs from there at the latest
        SteadyTime first_known{};
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
        SteadyTime prompted{};           // last asked to check in at once
        SteadyTime last_good{};          // newest check-in of a machine that hears us
        std::uint64_t answered_seq = 0;  // newest check-in of this session that was answered
        // Judged lapsed under that term: what still comes of it is a late copy. Under a later term it may be
        // alive, since another owner may have renewed it between the two.
        std::uint64_t lapsed_session = 0;
        Term lapsed_term;
        bool over(std::uint64_t session, Term mine) const {
            return lapsed_term == mine && session <= lapsed_session;
        }
        std::optional<double> notice_s;
        SteadyTime notice_at{};
        SteadyTime blocked_until{};
        int errors = 0;
        std::set<JobId> error_jobs;
        bool draining = false;
        NodeName drain_for;
        SteadyTime drain_since{};
        SteadyTime idle_since{};
        // Its free room as last worked out; nothing, or of an older `room_epoch_`: to be worked out anew.
        std::optional<Resources> free;
        std::uint64_t free_epoch = 0;
        SteadyTime kept_since{};  // its room was refused to a later job for the sake of an earlier one
    };
    // A check-in whose answer waits a moment for the orders that its news will bring.
    struct Held {
        wire::Heartbeat report;
        Reply reply;
        Env::TimerId timer = 0;
    };
    // Room offered in one round, until its gatherer answers.
    struct Round {
        std::vector<MachineId> machines;  // one entry for each offer
        Resources each;
        SteadyTime until;
    };
    // What a machine's room is promised to. Kept by machine: a search through all holds for each machine of
    // each ask grew with the square of the fleet.
    struct Promised {
        Resources held;
        std::map<TaskRef, Resources> starting;  // said yes to, not yet committed
    };
    void hold(const wire::RoundId& round, const Resources& each,
              const std::vector<wire::PlacementOffer>& offers);
    void let_go(const wire::RoundId& round);
    void start(const TaskRef& ref, const MachineId& id, const Resources& room);
    void started(const TaskRef& ref);
    void renew(const wire::Heartbeat& r, Term mine, const std::vector<wire::Command>& orders,
               const Reply& reply);
    std::vector<wire::Command> halts_of_cancelled(const wire::Heartbeat& r) const;
    void send_halts();
    void answer(const MachineId& id);
    void deliver_soon(const MachineId& id);
    void prompt_check_in(const MachineId& id, Machine& m);
    bool starts_service(const MachineId& id, const Machine& m) const;
    wire::FencingToken token_for(const MachineId& id, Term mine) const;
    bool worth_waiting(const MachineId& id, const Machine& m, const wire::Heartbeat& r) const;
    void take_report(Machine& m, const wire::Heartbeat& r, Term mine, bool checkin);
    std::vector<wire::Command> orders_for(const MachineId& id, Machine& m, const wire::Heartbeat& r,
                                          Term mine);
    bool placed_on(const MachineId& id, const wire::TaskStatus& t) const;
    std::optional<wire::Command> order_for_reported(const MachineId& id, Machine& m, const wire::Heartbeat& r,
                                                    const wire::TaskStatus& t, Term mine);
    std::optional<wire::Command> order_for_absent(const MachineId& id, Machine& m, const wire::Heartbeat& r,
                                                  const TaskRef& ref, Term mine);
    void take_end(const MachineId& id, Machine& m, const wire::Heartbeat& r, const wire::TaskStatus& t,
                  Term mine);
    void forget_past_attempts(const MachineId& id, Machine& m);
    bool kept_from(const MachineId& id, const Job& job) const;
    TaskIndex replicas_on(const MachineId& id, const JobId& job) const;
    std::vector<sched::Candidate> candidates_for(const wire::PlacementRequest& ask, const Job& job,
                                                 const std::optional<std::string>& bound);
    Resources free_room(const MachineId& id, Machine& m);
    Resources work_out_room(const MachineId& id, const Machine& m) const;
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
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    const CancellationWatermark& cancellation_watermark_;
    TaskCommitter& committer_;
    PeerChannel& peers_;
    std::unordered_map<MachineId, Machine> machines_;
    std::uint64_t room_epoch_ = 1;
    mutable bool room_unknown_ = false;  // some machine shows tasks of a job that has not been read yet
    Revision types_seen_;
    std::map<wire::RoundId, Round> holds_;
    std::unordered_map<MachineId, Promised> promised_;
    std::unordered_map<MachineId, Held> held_;
    std::map<TaskRef, MachineId> starting_;
    std::map<std::string, Resources> freed_;  // by type, to be told in a moment
    std::map<MachineId, std::vector<wire::Command>>
        halts_;  // of cancelled jobs, to be sent straight to their machines
    std::size_t halting_ = 0;
    std::size_t prompting_ = 0;
    std::map<std::pair<TaskRef, Attempt>, SteadyTime> stops_;  // asked to stop
    std::map<JobId, std::set<MachineId>> job_errors_;
    std::map<MachineId, sched::Reservation> reserved_;  // by the supplier's latest word
    SteadyTime reserved_at_{};
    // Where a machine can be told of a new term. Kept for all parts, since a takeover may come at any time.
    struct Address {
        std::string where;
        std::uint64_t session = 1;
        SteadyTime fresh{}, next_try{};
        int tries = 0;
        bool asking = false;
    };
    std::map<MachineId, Address> addresses_;
    std::size_t asking_ = 0;
    struct Hearing {
        SteadyTime gained{}, heard{};
    };
    std::map<std::uint32_t, Hearing> hearing_;  // of the parts that are ours
    void note_committed(const TaskRef& ref, const MachineId& id, const StartProgress& assigned);
    void note_phase(const MachineId& id, Machine& m, const wire::TaskStatus& task, const Job& job);
    Counts counts_;
    StartTimes start_times_;
    // Returned machines, newest last: a late copy of a report must not bring one back.
    std::set<MachineId> gone_;
    std::deque<MachineId> gone_order_;
};

}  // namespace zincdyke
