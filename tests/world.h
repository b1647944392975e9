// A whole deployment in memory: network, state service, cloud, workers and users around real Nodes, on a
// simulated clock and one seeded RNG.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "app/node.h"
#include "checker.h"
#include "message_recorder.h"

namespace zincdyke::testing {

using zincdyke::Duration;
using zincdyke::HttpRequest;
using zincdyke::HttpResponse;
using zincdyke::Json;
using zincdyke::Reply;
using zincdyke::SteadyTime;

enum class Link { up, drop, hold };

struct Task {
    std::string job;
    int index = 0;
    std::uint32_t attempt = 0;
    std::string phase = "fetching", cause;
    bool kept = false;
    double left_s = 0;
    std::uint64_t step = 0;  // guards pending events against a task that moved on
};

class World;

struct Worker {
    std::string id, address, type, zone;
    bool spot = false, alive = true, hung = false;
    std::uint64_t session = 1, seq = 0, term = 0;
    std::map<std::string, Task> tasks;  // by job/index, with attempt inside
    std::set<std::string> images;
    std::size_t node = 0;
    std::uint64_t flight = 0;  // number of the report under way, 0 when none
    std::uint64_t flights = 0;
    double lease_from = 0, next_report = 0, answered_sent = 0;
    std::optional<double> notice_at;
    double token_reported = -1e9;  // when a higher token last counted as a change
    bool faulty = false;
    std::vector<std::function<void()>> while_hung;
};

struct JobText {
    Json body;
    bool accepted = false;
};

class FakeStore {
  public:
    explicit FakeStore(World& w) : w_(w) {}
    void handle(const std::string& from, const HttpRequest& req, Reply reply);
    bool outage = false;
    std::set<std::string> refused;  // nodes that alone get 503
    double rps = 0, write_rps = 0;  // 0: no limit
    std::uint64_t over_rate = 0;    // requests answered 429
    std::size_t most_value = 4096, most_ops = 8;
    std::uint64_t revision = 1, commits = 0;
    std::map<std::string, std::pair<Json, std::uint64_t>> data;
    void tick();
    std::uint64_t grant_of(const std::string& key) const {
        auto it = grant_of_.find(key);
        return it == grant_of_.end() ? 0 : it->second;
    }
    std::size_t list_page = 7;
    std::size_t longest_news = 0;  // answers of a watch that are longer don't get through; 0: all do
    bool record = false;           // keep what was carried out, to be sent once more
    std::vector<HttpRequest> carried_out;
    std::string oversize;  // a write over the limits, if one ever came
    // From now on what is over the limits is refused, as by a service that lowered them without notice.
    void lower_limits(std::size_t value, std::size_t ops, double writes_per_s);
    std::uint64_t refused_large = 0;

  private:
    struct Grant {
        double until = 0, life = 0;
        std::set<std::string> keys;
    };
    struct Waiter {
        std::string prefix, from;
        std::uint64_t after = 0;
        double until = 0;
        Reply reply;
    };
    struct Event {
        std::string key;
        std::optional<Json> value;
        std::uint64_t version = 0;
    };
    void put(const std::string& key, std::optional<Json> v);
    bool answer(Waiter& waiter, bool late);
    World& w_;
    std::map<std::uint64_t, Grant> grants_;
    std::map<std::string, std::uint64_t> grant_of_;
    std::uint64_t next_grant_ = 1;
    bool spend(double& tokens, double& last, double rate, double n);
    double request_tokens_ = 0, write_tokens_ = 0, requests_last_ = -1, writes_last_ = -1;
    std::deque<Event> log_;
    std::vector<Waiter> waiters_;
    bool too_large(const Json& commit) const;
    bool refuses_large_ = false;
};

class World {
  public:
    struct Options {
        std::uint64_t seed = 1;
        int nodes = 3;
        std::vector<std::string> zones{"a"};
        std::string teams =
            "[[params.teams]]\nname = \"red\"\ncpus = 0\ncpus_max = 0\ngpus = 0\ngpus_max = 0\n"
            "[[params.teams]]\nname = \"blue\"\ncpus = 0\ncpus_max = 12\ngpus = 0\ngpus_max = 0\n";
        double value_kb = 4;
        int capacity = 40;
        double boot_s = 5;
        double report_s = 1.5, lease_s = 10, cancel_s = 30;
        double state_rps = 200, write_rps = 40, cloud_rps = 8;
        double memory_mb = 56;
        int max_sockets = 900;
        int txn_ops = 8;
        std::size_t list_page = 7;  // items of a list's answer; few, so that paging is always exercised
        double worker_step = 0.1;   // how often a worker looks at its clock
        // What the settings announce as the state service's next limits; 0: none.
        double next_value_kb = 0, next_write_rps = 0;
        int next_txn_ops = 0;
        // Nodes that begin with production's version, by its records: it knows no format levels.
        std::set<int> production_nodes;
        MessageRecorder* recorder = nullptr;  // is told every message, if there is one; outlives the World
        bool budgets = false;  // the state service and the cloud refuse what is over their rates
    };
    World() : World(Options()) {}
    explicit World(Options o);
    ~World();

    double now() const { return now_; }
    void at(double delay, std::function<void()> fn);
    void run(double seconds);
    bool run_until(const std::function<bool()>& cond, double most);

    void start_node(int i);
    void crash(int i);
    // Stands still while clocks run on; what comes meanwhile waits, and is handled before its own timers.
    void freeze(int i, double for_s);
    zincdyke::Node& node(int i) { return *hosts_[static_cast<std::size_t>(i)].node; }
    // Ends the node and starts it again with the new version.
    void upgrade(int i, double down_s = 0.5);
    bool up(int i) const { return hosts_[static_cast<std::size_t>(i)].node != nullptr; }
    std::string name(int i) const { return "n" + std::to_string(i); }
    int nodes() const { return static_cast<int>(hosts_.size()); }

    // Both directions between two parties: nodes by name, "state", "cloud", machines by id, "users".
    void link(const std::string& a, const std::string& b, Link l);
    Link link_of(const std::string& a, const std::string& b) const;
    void send(const std::string& a, const std::string& b, std::function<void()> fn);
    double loss = 0;             // share of messages lost on any link
    std::set<std::string> deaf;  // machines that send, and that nothing reaches
    std::set<std::string> mute;  // machines that reach no controller, while direct commands reach them
    double late_writes = 0;      // share of commits that get no answer and are carried out 2 to 12 s later
    double lost_answers = 0;     // share of commits that are carried out at once while their answer is lost
    double store_delay = 0;      // the state service answers up to so much later
    double late_commands = 0;    // share of direct commands carried out once, 2 to 16 s later, with no answer
    double late_command_answers = 0;  // share of direct commands whose answer is up to 4 s on its way
    // Late copies: a report arrives once more at the same controller, so much later; its answer goes nowhere.
    double copies = 0;   // share of reports
    double copy_s = 40;  // up to
    // Share of an owner's reports of which a copy is kept until the machine has a new owner, and arrives
    // there.
    double copies_for_next = 0;
    // Requests that were carried out come once more: commits, grants, rentals, returns, orders, submissions,
    // cancellations.
    double repeats = 0;    // share
    double repeat_s = 90;  // up to so much later
    void copy_of_report(const std::string& machine, int to, double delay);
    // Once troubles are over: no job waits 90 s while machines that fit have room and its team is under its
    // limit.
    void watch_waiting();

    Json job(const std::string& id, int tasks, double cpu = 1, double run_s = 5,
             const std::string& team = "red");
    void submit(const Json& body, int via = -1);  // retried as users do until answered for good
    void poll(const std::string& id, int via = -1);
    void cancel(const std::string& id, int via = -1);
    HttpResponse ask(int i, const std::string& method, const std::string& path, const std::string& body = "",
                     double most = 5);
    bool done(const std::string& id) { return told_[id] == "done"; }
    std::string told(const std::string& id) { return told_[id]; }
    bool cancelling(const std::string& id) const { return cancelling_.contains(id); }
    bool accepted(const std::string& id) { return jobs_[id].accepted; }

    Worker& add_machine(const std::string& type, const std::string& zone, bool spot, double boot_s);
    void kill_machine(const std::string& id);
    void hang(const std::string& id, double for_s);
    void notice(const std::string& id, double in_s);
    std::map<std::string, Worker>& workers() { return workers_; }
    int on_machines(const std::string& job) const;
    // Tasks that the state service holds as placed on a machine.
    int placed_on(const std::string& machine) const;

    Checker checker;
    FakeStore store{*this};
    bool cloud_down = false;
    int cloud_capacity = 40, rented = 0, returned = 0;
    std::set<std::string> hires;
    bool faulty_boots = false;
    std::set<std::string> bad_jobs;  // fail on every machine
    std::mt19937_64 rng;
    double chance() { return std::uniform_real_distribution<>(0, 1)(rng); }
    double lease_s = 10, report_s = 1.5, gang_wait_s = 30, gang_peer_s = 4;
    // The most that a controller had open at a time to workers, and the longest the users waited for an
    // answer.
    std::size_t most_calls = 0;
    double slowest_answer = 0;
    const std::vector<std::string>& zones() const { return options_.zones; }
    MessageRecorder* recorder() const { return options_.recorder; }

  private:
    friend class SimEnv;
    struct Host {
        zincdyke::Settings settings;
        std::unique_ptr<class SimEnv> env;
        std::unique_ptr<zincdyke::Node> node;
        std::uint64_t life = 0;
        double frozen_until = 0;
    };
    bool frozen(std::size_t host) const { return hosts_[host].frozen_until > now_; }
    // Runs `fn` for that life of a controller; later, if it stands still.
    void deliver(std::size_t host, std::uint64_t life, double lag, std::function<void()> fn);
    // Every request to a controller passes here.
    void ask_node(std::size_t host, const std::string& from, const HttpRequest& req, Reply reply);
    void repeat_later(const HttpRequest& req, std::function<void()> fn);
    bool is_unknown_to_production(const std::string& from, const HttpRequest& req) const;
    void http(const std::string& from, const std::string& address, const HttpRequest& req, Reply reply);
    void cloud(const HttpRequest& req, const Reply& reply);
    void worker_http(Worker& w, const HttpRequest& req, const Reply& reply);
    // What reaches a machine that hangs is carried out when it goes on.
    void reach_worker(const std::string& id, const HttpRequest& req, const Reply& reply);
    void worker_tick(const std::string& id);
    void report(Worker& w);
    void execute(Worker& w, const Json& orders);
    void begin(Worker& w, const std::string& key);
    void have_image(const std::string& id, const std::string& key, std::uint64_t step);
    void go(const std::string& id, const std::string& key);
    void end_task(Worker& w, const std::string& key, const std::string& cause, bool kept = false);
    void drop_tasks(Worker& w);
    void gang_lost(const std::string& job, std::uint32_t attempt);
    std::string report_body(Worker& w);
    void keep_for_next(const Worker& w, const std::string& body);
    void send_kept_reports();
    void changed(Worker& w);
    void take_token(Worker& w, std::uint64_t token);
    void user_request(const std::string& id, const std::string& method, const std::string& path,
                      const std::string& body, int via, bool submission, int tries);
    Options options_;
    double now_ = 0;
    std::uint64_t order_ = 0, next_machine_ = 0;
    std::map<std::pair<double, std::uint64_t>, std::function<void()>> events_;
    std::vector<Host> hosts_;
    std::map<std::pair<std::string, std::string>, Link> links_;
    std::map<std::pair<std::string, std::string>, std::vector<std::function<void()>>> held_;
    std::map<std::string, Worker> workers_;
    struct KeptReport {
        std::string machine, body;
        zincdyke::Term term;  // of the owner that it was sent to
    };
    std::vector<KeptReport> kept_reports_;
    std::map<std::string, JobText> jobs_;
    std::map<std::string, std::string> told_;
    std::set<std::string> cancelling_;
    std::map<std::string, std::set<int>> finished_;
    std::map<std::string, std::vector<std::string>> hire_answers_;
    std::map<std::string, double> born_;
    std::map<std::string, std::string> by_address_;
    std::map<std::string, std::set<std::string>> gang_at_;  // job: machines that hold members of it
    std::map<std::string, double> could_start_since_;
    double cloud_tokens_ = 0, cloud_last_ = -1;
};

}  // namespace zincdyke::testing
