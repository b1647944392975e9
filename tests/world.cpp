#include "world.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace zincdyke::testing {

class SimEnv : public zincdyke::Env {
  public:
    SimEnv(World& w, std::size_t host, std::string name, std::uint64_t life)
        : w_(w), host_(host), name_(std::move(name)), life_(life), rng_(w.rng()) {}
    SteadyTime now() override {
        return SteadyTime(Duration(static_cast<std::int64_t>((w_.now() + 1000) * 1e6)));
    }
    zincdyke::WallTime wall() override {
        return zincdyke::WallTime(static_cast<std::int64_t>(w_.now() * 1000));
    }
    TimerId after(Duration d, std::function<void()> fn) override {
        TimerId id = ++next_;
        live_.insert(id);
        w_.at(zincdyke::to_seconds(d), guarded([this, id, fn = std::move(fn)] {
                  if (live_.erase(id) > 0) fn();
              }));
        return id;
    }
    void cancel(TimerId id) override { live_.erase(id); }
    void http(const std::string& address, HttpRequest req, Duration timeout, Reply done) override {
        auto answered = std::make_shared<bool>(false);
        const bool to_worker = address.rfind("10.2.", 0) != 0;
        if (to_worker) w_.most_calls = std::max(w_.most_calls, ++calls_);
        MessageRecorder* const recorder = w_.options_.recorder;
        if (recorder != nullptr)
            recorder->request(w_.now(), MessageRecorder::Kind::request, name_, address, req);
        auto once = [this, to_worker, answered, recorder, address, done = std::move(done)](HttpResponse r) {
            if (std::exchange(*answered, true)) return;
            if (to_worker) --calls_;
            if (recorder != nullptr)
                recorder->response(w_.now(), MessageRecorder::Kind::response, address, name_, r);
            done(std::move(r));
        };
        w_.at(zincdyke::to_seconds(timeout), guarded([once] { once({}); }));
        w_.http(name_, address, req, [&w = w_, host = host_, once, life = life_](HttpResponse r) {
            w.deliver(host, life, 0, [once, r = std::move(r)] { once(r); });
        });
    }
    void send_peer(const zincdyke::NodeName& to, std::string frame) override {
        EXPECT_LE(frame.size(), zincdyke::wire::max_peer_frame);
        if (w_.options_.recorder != nullptr) w_.options_.recorder->frame(w_.now(), name_, to.value(), frame);
        w_.send(name_, to.value(), [&w = w_, from = zincdyke::NodeName(name_), to, frame = std::move(frame)] {
            for (std::size_t i = 0; i < w.hosts_.size(); ++i) {
                auto& h = w.hosts_[i];
                if (h.settings.node != to || !h.node) continue;
                w.deliver(i, h.life, 0, [&h, from, frame] {
                    auto m = zincdyke::wire::decode(
                        std::string_view(frame).substr(zincdyke::wire::peer_header_bytes));
                    if (m) h.node->on_peer(from, *m);
                });
            }
        });
    }
    std::mt19937_64& rng() override { return rng_; }

  private:
    // What a process left behind dies with it.
    std::function<void()> guarded(std::function<void()> fn) {
        return
            [&w = w_, host = host_, life = life_, fn = std::move(fn)] { w.deliver(host, life, 0.001, fn); };
    }
    World& w_;
    std::size_t host_;
    std::string name_;
    std::uint64_t life_;
    std::mt19937_64 rng_;
    TimerId next_ = 0;
    std::set<TimerId> live_;
    std::size_t calls_ = 0;  // to workers, under way
};

// ---- state service ----

void FakeStore::put(const std::string& key, std::optional<Json> v) {
    if (auto g = grant_of_.find(key); g != grant_of_.end()) {
        grants_[g->second].keys.erase(key);
        grant_of_.erase(g);
    }
    if (!v && !data.contains(key)) return;
    if (w_.recorder() != nullptr) {
        const std::string text = v ? v->dump() : "";
        w_.recorder()->write(w_.now(), key, revision, v ? &text : nullptr);
    }
    if (v)
        data[key] = {*v, revision};
    else
        data.erase(key);
    log_.push_back({key, std::move(v), revision});
    if (log_.size() > 10'000) log_.pop_front();
}

bool FakeStore::spend(double& tokens, double& last, double rate, double n) {
    if (rate <= 0) return true;
    tokens = last < 0 ? rate : std::min(rate, tokens + rate * (w_.now() - last));
    last = w_.now();
    if (tokens < n) {
        ++over_rate;
        return false;
    }
    tokens -= n;
    return true;
}

bool FakeStore::answer(Waiter& waiter, bool late) {
    if (outage || refused.contains(waiter.from)) return false;
    Json news = Json::array();
    if (log_.size() == 10'000 && log_.front().version > waiter.after + 1) {
        waiter.reply({410, "{}", -1});
        return true;
    }
    auto first = std::upper_bound(log_.begin(), log_.end(), waiter.after,
                                  [](std::uint64_t v, const Event& e) { return v < e.version; });
    for (; first != log_.end(); ++first)
        if (const Event& e = *first; e.key.rfind(waiter.prefix, 0) == 0) {
            if (e.value)
                news.push_back({{"set", e.key}, {"value", *e.value}, {"stamp", e.version}});
            else
                news.push_back({{"delete", e.key}, {"stamp", e.version}});
        }
    if (news.empty() && !late) return false;
    std::string text = Json{{"epoch", revision}, {"news", news}}.dump();
    if (longest_news > 0 && text.size() > longest_news)
        waiter.reply({});
    else
        waiter.reply({200, std::move(text), -1});
    return true;
}

void FakeStore::tick() {
    for (auto it = grants_.begin(); it != grants_.end();) {
        if (outage) it->second.until = std::max(it->second.until, w_.now() + it->second.life);
        if (it->second.until < w_.now()) {
            auto keys = it->second.keys;
            it = grants_.erase(it);
            if (!keys.empty()) ++revision;
            for (const auto& k : keys) put(k, std::nullopt);
        } else {
            ++it;
        }
    }
    std::vector<Waiter> waiting = std::move(waiters_);
    waiters_.clear();
    for (auto& w : waiting)
        if (!answer(w, w.until < w_.now())) waiters_.push_back(std::move(w));
}

void FakeStore::lower_limits(std::size_t value, std::size_t ops, double writes_per_s) {
    most_value = value;
    most_ops = ops;
    if (write_rps > 0) write_rps = writes_per_s;
    refuses_large_ = true;
}

bool FakeStore::too_large(const Json& commit) const {
    if (commit["writes"].size() > most_ops || commit["if"].size() > 4 * most_ops) return true;
    return std::any_of(commit["writes"].begin(), commit["writes"].end(), [this](const Json& write) {
        return write.contains("set") && write["value"].dump().size() > most_value;
    });
}

void FakeStore::handle(const std::string& from, const HttpRequest& req, Reply reply) {
    if (outage || refused.contains(from)) return reply({503, "{}", -1});
    if (!spend(request_tokens_, requests_last_, rps, 1)) return reply({429, "{}", -1});
    auto param = [&](const std::string& name) -> std::string {
        auto at = req.path.find(name + "=");
        if (at == std::string::npos) return "";
        at += name.size() + 1;
        return req.path.substr(at, req.path.find('&', at) - at);
    };
    if (req.path.rfind("/watch", 0) == 0) {
        Waiter w{param("prefix"), from, std::stoull(param("after")),
                 w_.now() + std::stod(param("hold_ms")) / 1000, reply};
        if (!answer(w, false)) waiters_.push_back(std::move(w));
        return;
    }
    if (req.path.rfind("/store?", 0) == 0) {
        Json items = Json::array();
        bool more = false;
        std::string prefix = param("prefix"), after = param("after");
        for (const auto& [k, v] : data) {
            if (k.rfind(prefix, 0) != 0 || k <= after) continue;
            if (items.size() == list_page) {
                more = true;
                break;
            }
            items.push_back({{"key", k}, {"value", v.first}, {"stamp", v.second}});
        }
        return reply({200, Json{{"items", items}, {"has_next", more}, {"epoch", revision}}.dump(), -1});
    }
    if (req.path.rfind("/store/", 0) == 0) {
        auto it = data.find(req.path.substr(7));
        if (it == data.end()) return reply({404, Json{{"epoch", revision}}.dump(), -1});
        return reply(
            {200, Json{{"key", it->first}, {"value", it->second.first}, {"stamp", it->second.second}}.dump(),
             -1});
    }
    if (req.path == "/grants") {
        std::uint64_t id = next_grant_++;
        double life = Json::parse(req.body)["life_ms"].get<double>() / 1000;
        grants_[id] = {w_.now() + life, life, {}};
        return reply({200, Json{{"tether", id}}.dump(), -1});
    }
    if (req.path.rfind("/grants/", 0) == 0) {
        auto it = grants_.find(std::stoull(req.path.substr(8)));
        if (it == grants_.end()) return reply({404, "{}", -1});
        it->second.until = w_.now() + it->second.life;
        return reply({200, Json{{"tether", it->first}}.dump(), -1});
    }
    if (req.path != "/commit") return reply({400, "{}", -1});
    Json body = Json::parse(req.body);
    if (!spend(write_tokens_, writes_last_, write_rps, static_cast<double>(body["writes"].size())))
        return reply({429, "{}", -1});
    ++commits;
    if (refuses_large_ && too_large(body)) {
        ++refused_large;
        return reply({400, R"({"error":"too large"})", -1});
    }
    if (req.body.size() > 64 * 1024 || body["writes"].size() > most_ops || body["if"].size() > 4 * most_ops)
        oversize = "transaction";
    Json failed = Json::array();
    for (const auto& c : body["if"]) {
        auto it = data.find(c["key"].get<std::string>());
        if ((it == data.end() ? 0 : it->second.second) != c["stamp"].get<std::uint64_t>())
            failed.push_back(c["key"]);
    }
    for (const auto& w : body["writes"]) {
        if (w.contains("tether") && !grants_.contains(w["tether"].get<std::uint64_t>()))
            return reply({400, R"({"error":"no such lease"})", -1});
        if (w.contains("set") && w["value"].dump().size() > most_value)
            oversize = w["set"].get<std::string>();
    }
    if (!failed.empty()) return reply({409, Json{{"failed", failed}, {"epoch", revision}}.dump(), -1});
    if (record) carried_out.push_back(req);
    if (!body["writes"].empty()) ++revision;
    for (const auto& w : body["writes"]) {
        if (w.contains("delete")) {
            put(w["delete"].get<std::string>(), std::nullopt);
            continue;
        }
        std::string key = w["set"].get<std::string>();
        put(key, w["value"]);
        if (w.contains("tether")) {
            grant_of_[key] = w["tether"].get<std::uint64_t>();
            grants_[grant_of_[key]].keys.insert(key);
        }
    }
    reply({200, Json{{"epoch", revision}}.dump(), -1});
    tick();
}

// ---- world ----

World::World(Options o) : rng(o.seed), options_(std::move(o)) {
    cloud_capacity = options_.capacity;
    lease_s = options_.lease_s;
    report_s = options_.report_s;
    checker.cancel_s = options_.cancel_s;
    if (options_.budgets) {
        store.rps = options_.state_rps;
        store.write_rps = options_.write_rps;
    }
    store.list_page = options_.list_page;
    store.most_ops = static_cast<std::size_t>(options_.txn_ops);
    store.most_value = static_cast<std::size_t>(options_.value_kb * 1024);
    std::string zones;
    for (const auto& z : options_.zones) zones += (zones.empty() ? "\"" : ", \"") + z + "\"";
    std::string next;
    if (options_.next_value_kb > 0)
        next = "\n[params.state.next]\nwrite_rps = " + std::to_string(options_.next_write_rps) +
               "\nvalue_kb = " + std::to_string(options_.next_value_kb) +
               "\ntxn_ops = " + std::to_string(options_.next_txn_ops);
    for (int i = 0; i < options_.nodes; ++i) {
        std::string s = "node = \"" + name(i) + "\"\nzone = \"a\"\napi_addr = \"10.0.0." +
                        std::to_string(i + 1) + ":8080\"\ncluster_listen = \"10.0.0." +
                        std::to_string(i + 1) + ":8081\"\n";
        for (int k = 0; k < options_.nodes; ++k)
            if (k != i)
                s += "[[seeds]]\nnode = \"" + name(k) + "\"\nzone = \"a\"\naddress = \"10.0.0." +
                     std::to_string(k + 1) + ":8081\"\n";
        s += "[outside]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n[params]\nsize = " +
             std::to_string(options_.nodes) + "\nzones = [" + zones + "]\nskew_ms = 100.0\n" +
             options_.teams + "[params.workers]\nreport_s = " + std::to_string(options_.report_s) +
             "\nlease_s = " + std::to_string(options_.lease_s) +
             "\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = " + std::to_string(options_.cancel_s) +
             "\n[params.state]\nrps = " + std::to_string(options_.state_rps) +
             "\nwrite_rps = " + std::to_string(options_.write_rps) +
             "\nvalue_kb = " + std::to_string(options_.value_kb) +
             "\ntxn_ops = " + std::to_string(options_.txn_ops) + next +
             "\n[params.cloud]\nrps = " + std::to_string(options_.cloud_rps) +
             "\nlist_lag_s = 3.0\n[params.machine_limits]\ncore_share = 0.1\nmemory_mb = " +
             std::to_string(options_.memory_mb) + "\nmax_sockets = " + std::to_string(options_.max_sockets) +
             "\n";
        Host h;
        h.settings = zincdyke::parse_settings(s);
        hosts_.push_back(std::move(h));
    }
    for (const auto& [n, t] : hosts_[0].settings.teams)
        checker.limits[n.value()] = {static_cast<double>(t.cpu_max) / 1000,
                                     static_cast<double>(t.gpu_max) / 1000};
    for (int i = 0; i < options_.nodes; ++i) start_node(i);
    std::function<void()> beat = [this] {
        store.tick();
        checker.tick(now_);
        watch_waiting();
        send_kept_reports();
    };
    auto loop = std::make_shared<std::function<void()>>();
    *loop = [this, beat, weak = std::weak_ptr<std::function<void()>>(loop)] {
        beat();
        if (auto l = weak.lock()) at(0.1, [l] { (*l)(); });
    };
    at(0.1, [loop] { (*loop)(); });
}

World::~World() { events_.clear(); }

void World::at(double delay, std::function<void()> fn) {
    events_.emplace(std::make_pair(now_ + std::max(0.0, delay), ++order_), std::move(fn));
}

void World::run(double s) {
    double until = now_ + s;
    while (!events_.empty() && events_.begin()->first.first <= until) {
        auto it = events_.begin();
        now_ = std::max(now_, it->first.first);
        auto fn = std::move(it->second);
        events_.erase(it);
        fn();
    }
    now_ = until;
}

bool World::run_until(const std::function<bool()>& cond, double most) {
    double end = now_ + most;
    while (now_ < end) {
        if (cond()) return true;
        run(0.1);
    }
    return cond();
}

void World::start_node(int i) {
    auto& h = hosts_[static_cast<std::size_t>(i)];
    if (h.node) return;
    ++h.life;
    h.env = std::make_unique<SimEnv>(*this, static_cast<std::size_t>(i), h.settings.node.value(), h.life);
    h.node = std::make_unique<zincdyke::Node>(*h.env, h.settings, zincdyke::Policy{});
    h.node->start();
}

void World::crash(int i) {
    auto& h = hosts_[static_cast<std::size_t>(i)];
    ++h.life;
    h.node.reset();
}

void World::upgrade(int i, double down_s) {
    crash(i);
    options_.production_nodes.erase(i);
    at(down_s, [this, i] { start_node(i); });
}

// What production's version never sends.
bool World::is_unknown_to_production(const std::string& from, const HttpRequest& req) const {
    if (req.path != "/commit" || req.body.find("\"z/v/") == std::string::npos) return false;
    return std::any_of(options_.production_nodes.begin(), options_.production_nodes.end(),
                       [&](int i) { return name(i) == from; });
}

void World::freeze(int i, double for_s) { hosts_[static_cast<std::size_t>(i)].frozen_until = now_ + for_s; }

void World::deliver(std::size_t host, std::uint64_t life, double lag, std::function<void()> fn) {
    Host& h = hosts_[host];
    if (h.life != life || !h.node) return;
    if (frozen(host)) {
        at(h.frozen_until - now_ + lag,
           [this, host, life, lag, fn = std::move(fn)] { deliver(host, life, lag, fn); });
        return;
    }
    fn();
}

void World::ask_node(std::size_t host, const std::string& from, const HttpRequest& req, Reply reply) {
    MessageRecorder* const recorder = options_.recorder;
    if (recorder != nullptr && !MessageRecorder::is_outside(req)) {
        const std::string to = hosts_[host].settings.node.value();
        recorder->request(now_, MessageRecorder::Kind::asked, from, to, req);
        reply = [this, recorder, from, to, inner = std::move(reply)](HttpResponse response) {
            recorder->response(now_, MessageRecorder::Kind::answered, to, from, response);
            inner(std::move(response));
        };
    }
    hosts_[host].node->on_request(req, std::move(reply));
}

void World::repeat_later(const HttpRequest& req, std::function<void()> fn) {
    if (repeats > 0 && req.method == "POST" && chance() < repeats) at(repeat_s * chance(), std::move(fn));
}

void World::link(const std::string& a, const std::string& b, Link l) {
    auto key = std::minmax(a, b);
    links_[key] = l;
    if (l == Link::hold) return;
    auto late = std::move(held_[key]);
    held_.erase(key);
    if (l == Link::up)
        for (auto& fn : late) at(0.001, std::move(fn));
}

Link World::link_of(const std::string& a, const std::string& b) const {
    auto it = links_.find(std::minmax(a, b));
    return it == links_.end() ? Link::up : it->second;
}

void World::send(const std::string& a, const std::string& b, std::function<void()> fn) {
    if (deaf.contains(b)) return;
    switch (link_of(a, b)) {
        case Link::drop:
            return;
        case Link::hold:
            held_[std::minmax(a, b)].push_back(std::move(fn));
            return;
        case Link::up:
            break;
    }
    if (loss > 0 && chance() < loss) return;
    at(0.001 + 0.002 * chance(), std::move(fn));
}

void World::http(const std::string& from, const std::string& address, const HttpRequest& req, Reply reply) {
    if (is_unknown_to_production(from, req)) return;
    if (address == "10.2.0.1:2379") {
        repeat_later(req, [this, from, req] { store.handle(from, req, [](const HttpResponse&) {}); });
        if (late_writes > 0 && req.path == "/commit" && chance() < late_writes) {
            at(2 + 10 * chance(), [this, from, req] { store.handle(from, req, [](const HttpResponse&) {}); });
            return;
        }
        const bool lost = lost_answers > 0 && req.path == "/commit" && chance() < lost_answers;
        send(from, "state", [this, from, req, reply, lost] {
            store.handle(from, req, [this, from, reply, lost](HttpResponse r) {
                if (lost) return;
                at(store_delay * chance(),
                   [this, from, reply, r = std::move(r)] { send("state", from, [reply, r] { reply(r); }); });
            });
        });
    } else if (address == "10.2.0.2:8443") {
        repeat_later(req, [this, req] { cloud(req, [](const HttpResponse&) {}); });
        send(from, "cloud", [this, from, req, reply] {
            cloud(req, [this, from, reply](HttpResponse r) {
                at(0.1,
                   [this, from, reply, r = std::move(r)] { send("cloud", from, [reply, r] { reply(r); }); });
            });
        });
    } else {
        auto found = by_address_.find(address);
        if (found == by_address_.end()) return;
        const std::string id = found->second;
        repeat_later(req, [this, id, req] {
            if (auto it = workers_.find(id); it != workers_.end() && it->second.alive)
                worker_http(it->second, req, [](const HttpResponse&) {});
        });
        if (late_commands > 0 && req.method == "POST" && chance() < late_commands) {
            at(2 + 14 * chance(), [this, id, req] {
                if (!deaf.contains(id)) reach_worker(id, req, [](const HttpResponse&) {});
            });
            return;
        }
        const bool held = late_command_answers > 0 && chance() < late_command_answers;
        const double lag = held ? 4 * chance() : 0;
        send(from, id, [this, id, from, req, reply, lag] {
            reach_worker(id, req, [this, id, from, reply, lag](HttpResponse r) {
                auto back = [this, id, from, reply, r = std::move(r)] {
                    send(id, from, [reply, r] { reply(r); });
                };
                if (lag > 0)
                    at(lag, back);
                else
                    back();
            });
        });
    }
}

void World::reach_worker(const std::string& id, const HttpRequest& req, const Reply& reply) {
    auto found = workers_.find(id);
    if (found == workers_.end() || !found->second.alive) return;
    auto act = [this, id, req, reply] {
        if (workers_.contains(id)) worker_http(workers_.at(id), req, reply);
    };
    if (found->second.hung)
        found->second.while_hung.push_back(act);
    else
        act();
}

void World::cloud(const HttpRequest& req, const Reply& reply) {
    if (options_.budgets) {
        const double rate = options_.cloud_rps;
        cloud_tokens_ =
            cloud_last_ < 0 ? 2 * rate : std::min(2 * rate, cloud_tokens_ + rate * (now_ - cloud_last_));
        cloud_last_ = now_;
        if (cloud_tokens_ < 1) return reply({429, "{}", -1});
        cloud_tokens_ -= 1;
    }
    if (cloud_down) return reply({503, R"({"error":"trouble"})", -1});
    if (req.path == "/flavors") {
        Json zones = options_.zones;
        return reply({200,
                      Json{{"breeds",
                            {{{"sku", "small"},
                              {"vcpus", 4.0},
                              {"gpus", 0.0},
                              {"ram_gb", 16.0},
                              {"local_gb", 50.0},
                              {"fetch_gb_per_s", 1.0},
                              {"hourly", 1.0},
                              {"low_price", 0.4},
                              {"boot_s", options_.boot_s},
                              {"fields", zones}},
                             {{"sku", "gpu"},
                              {"vcpus", 8.0},
                              {"gpus", 2.0},
                              {"ram_gb", 32.0},
                              {"local_gb", 50.0},
                              {"fetch_gb_per_s", 1.0},
                              {"hourly", 4.0},
                              {"low_price", 1.5},
                              {"boot_s", options_.boot_s},
                              {"fields", zones}}}}}
                          .dump(),
                      -1});
    }
    if (req.method == "GET") {
        Json list = Json::array();
        const auto at_name = req.path.find("after=");
        const std::string after = at_name == std::string::npos ? "" : req.path.substr(at_name + 6);
        bool more = false;
        for (auto it = workers_.upper_bound(after); it != workers_.end(); ++it) {
            const auto& [id, w] = *it;
            if (list.size() == 500) {
                more = true;
                break;
            }
            if (born_[id] + 3 < now_)
                list.push_back({{"uid", id},
                                {"address", w.address},
                                {"breed", w.type},
                                {"field", w.zone},
                                {"loaners", w.spot},
                                {"phase", w.node == SIZE_MAX ? "booting" : "running"},
                                {"held_s", now_ - born_[id]}});
        }
        return reply({200, Json{{"werven", list}, {"has_next", more}}.dump(), -1});
    }
    Json b = Json::parse(req.body);
    if (req.path == "/machines/return") {
        for (const auto& n : b["werven"]) {
            auto it = workers_.find(n.get<std::string>());
            if (it == workers_.end()) continue;
            drop_tasks(it->second);
            ++returned;
            by_address_.erase(it->second.address);
            workers_.erase(it);
        }
        return reply({200, "{}", -1});
    }
    std::string hire = b["hire"].get<std::string>();
    if (!hire_answers_.contains(hire)) {
        int room = cloud_capacity - static_cast<int>(workers_.size());
        int n = std::min({room, b["how_many"].get<int>(), 50});
        if (n <= 0) return reply({503, R"({"error":"no capacity"})", -1});
        for (int i = 0; i < n; ++i) {
            ++rented;
            hire_answers_[hire].push_back(add_machine(b["breed"].get<std::string>(),
                                                      b["field"].get<std::string>(), b["loaners"].get<bool>(),
                                                      options_.boot_s * (0.6 + chance()))
                                              .id);
        }
    }
    hires.insert(hire);
    reply({200, Json{{"werven", hire_answers_[hire]}}.dump(), -1});
}

// ---- workers ----

Worker& World::add_machine(const std::string& type, const std::string& zone, bool spot, double boot_s) {
    char id[32];
    std::snprintf(id, sizeof id, "host-%06llu", static_cast<unsigned long long>(++next_machine_));
    Worker w;
    w.id = id;
    w.address = "10.1." + std::to_string(next_machine_ / 200) + "." +
                std::to_string(next_machine_ % 200 + 1) + ":9000";
    w.type = type;
    w.zone = zone;
    w.spot = spot;
    w.node = SIZE_MAX;
    w.faulty = faulty_boots;
    born_[id] = now_;
    checker.machine(id, {type, zone, spot});
    by_address_[w.address] = id;
    auto& placed = workers_[id] = std::move(w);
    at(boot_s, [this, name = std::string(id)] {
        auto it = workers_.find(name);
        if (it == workers_.end()) return;
        it->second.node = rng() % hosts_.size();
        it->second.lease_from = now_;
        worker_tick(name);
    });
    return placed;
}

void World::kill_machine(const std::string& id) {
    auto it = workers_.find(id);
    if (it == workers_.end()) return;
    drop_tasks(it->second);
    it->second.alive = false;
}

void World::hang(const std::string& id, double for_s) {
    workers_.at(id).hung = true;
    at(for_s, [this, id] {
        auto it = workers_.find(id);
        if (it == workers_.end()) return;
        it->second.hung = false;
        auto late = std::move(it->second.while_hung);
        for (auto& fn : late)
            if (workers_.contains(id)) fn();
    });
}

void World::notice(const std::string& id, double in_s) {
    workers_.at(id).notice_at = now_ + in_s;
    at(in_s, [this, id] { kill_machine(id); });
}

void World::drop_tasks(Worker& w) {
    auto tasks = std::move(w.tasks);
    w.tasks.clear();
    for (auto& [key, t] : tasks) {
        if (t.phase == "ended") continue;
        if (t.phase != "fetching") checker.task_off(t.job, t.index, w.id);
        if (jobs_[t.job].body.value("shape", "") == "group") gang_lost(t.job, t.attempt);
    }
}

std::string World::report_body(Worker& w) {
    ++w.seq;
    Json list = Json::array();
    for (const auto& [key, t] : w.tasks) {
        Json e = {{"shard", t.job + "/" + std::to_string(t.index)}, {"try", t.attempt}, {"phase", t.phase}};
        if (t.phase == "ended") {
            e["cause"] = t.cause;
            if (t.kept) e["kept"] = true;
        }
        list.push_back(std::move(e));
    }
    Json r = {{"werf", w.id},      {"address", w.address}, {"breed", w.type}, {"field", w.zone},
              {"loaners", w.spot}, {"tenure", w.session},  {"tick", w.seq},   {"baton", w.term},
              {"shards", list},    {"warning_s", nullptr}};
    if (w.notice_at) r["warning_s"] = std::max(0.0, *w.notice_at - now_);
    return r.dump();
}

void World::worker_tick(const std::string& id) {
    auto it = workers_.find(id);
    if (it == workers_.end() || !it->second.alive) return;
    Worker& w = it->second;
    // A lease lapses whether or not its machine executes anything: its tasks never go on after that.
    if (now_ - w.lease_from > lease_s) {
        drop_tasks(w);
        ++w.session;
        w.lease_from = now_;
    }
    if (!w.hung && w.flight == 0 && now_ >= w.next_report) report(w);
    at(options_.worker_step, [this, id] { worker_tick(id); });
}

void World::report(Worker& w) {
    std::uint64_t flight = w.flight = ++w.flights;
    double sent = now_;
    std::uint64_t session = w.session;
    std::string id = w.id, body = report_body(w);
    std::size_t target = w.node;
    auto settle = [this, id, flight](double wait, std::optional<std::size_t> next) {
        auto it = workers_.find(id);
        if (it == workers_.end() || it->second.flight != flight) return false;
        it->second.flight = 0;
        it->second.next_report = now_ + wait;
        if (next) it->second.node = *next % hosts_.size();
        return true;
    };
    at(4, [settle, target] { settle(1, target + 1); });
    std::string node_name = name(static_cast<int>(target));
    if (!up(static_cast<int>(target)) || mute.contains(id)) {
        at(0.01, [settle, target] { settle(1, target + 1); });
        return;
    }
    if (copies > 0 && chance() < copies) {
        at(copy_s * chance(), [this, target, body] {
            if (up(static_cast<int>(target)))
                ask_node(target, "copy", {"POST", "/checkin", body}, [](const HttpResponse&) {});
        });
    }
    if (copies_for_next > 0 && chance() < copies_for_next) keep_for_next(w, body);
    send(id, node_name, [this, id, node_name, target, body, settle, sent, session] {
        if (!up(static_cast<int>(target))) return;
        deliver(target, hosts_[target].life, 0, [=, this] {
            ask_node(target, id, {"POST", "/checkin", body},
                     [this, id, node_name, target, settle, sent, session](HttpResponse r) {
                         send(node_name, id, [this, id, target, settle, sent, session, r] {
                             auto it = workers_.find(id);
                             if (it == workers_.end() || !it->second.alive || it->second.hung ||
                                 it->second.flight == 0)
                                 return;
                             Worker& w2 = it->second;
                             Json j = Json::parse(r.body, nullptr, false);
                             if (r.status == 421) {
                                 std::size_t next = target + 1;
                                 double wait = 1;
                                 for (std::size_t i = 0; i < hosts_.size(); ++i)
                                     if (j.value("foreman", "") == hosts_[i].settings.node.value() &&
                                         i != target) {
                                         next = i;
                                         wait = 0.2;
                                     }
                                 settle(wait, next);
                                 return;
                             }
                             if (r.status != 200) {
                                 settle(1, target + 1);
                                 return;
                             }
                             if (!settle(report_s * (0.75 + 0.5 * chance()), target)) return;
                             std::uint64_t term = j.value("baton", std::uint64_t{0});
                             if (term < w2.term || term == 0 || session != w2.session) return;
                             take_token(w2, term);
                             if (now_ - w2.lease_from > lease_s) return;
                             w2.lease_from = std::max(w2.lease_from, sent);
                             execute(w2, j["orders"]);
                         });
                     });
        });
    });
}

void World::worker_http(Worker& w, const HttpRequest& req, const Reply& reply) {
    if (req.path == "/status") return reply({200, report_body(w), -1});
    Json b = Json::parse(req.body);
    std::uint64_t term = b["baton"].get<std::uint64_t>();
    if (term < w.term || b["tenure"].get<std::uint64_t>() != w.session)
        return reply({409, report_body(w), -1});
    take_token(w, term);
    execute(w, b["orders"]);
    reply({200, report_body(w), -1});
}

void World::changed(Worker& w) { w.next_report = std::min(w.next_report, now_ + 0.3); }

// A higher token counts as a change at most once in half of a lease.
void World::take_token(Worker& w, std::uint64_t token) {
    if (token > w.term && now_ - w.token_reported >= lease_s / 2) {
        w.token_reported = now_;
        changed(w);
    }
    w.term = token;
}

void World::execute(Worker& w, const Json& orders) {
    for (const auto& o : orders) {
        std::string ref = o["shard"].get<std::string>(), verb = o["verb"].get<std::string>();
        auto attempt = o["try"].get<std::uint32_t>();
        std::string key = ref + "#" + std::to_string(attempt);
        auto it = w.tasks.find(key);
        if (verb == "clear") {
            if (it != w.tasks.end() && it->second.phase == "ended") w.tasks.erase(it);
        } else if (verb == "halt") {
            if (it == w.tasks.end() || it->second.phase == "ended") continue;
            const Json& body = jobs_[it->second.job].body;
            double stow = body.value("stow_s", 0.0);
            if (it->second.phase == "running" && body.value("mark_every_s", 0.0) > 0 &&
                o.value("respite_s", 0.0) >= stow) {
                it->second.phase = "saving";
                std::uint64_t step = ++it->second.step;
                at(stow, [this, id = w.id, key, step] {
                    auto ww = workers_.find(id);
                    if (ww == workers_.end()) return;
                    auto t = ww->second.tasks.find(key);
                    if (t != ww->second.tasks.end() && t->second.step == step)
                        end_task(ww->second, key, "halted", true);
                });
            } else if (it->second.phase != "saving" || o.value("respite_s", 0.0) == 0) {
                end_task(w, key, "halted");
            }
        } else if (verb == "run" && it == w.tasks.end()) {
            Task t;
            auto slash = ref.rfind('/');
            t.job = ref.substr(0, slash);
            t.index = std::stoi(ref.substr(slash + 1));
            t.attempt = attempt;
            if (!jobs_.contains(t.job)) {
                t.phase = "ended";
                t.cause = "unknown";
            }
            for (const auto& [k, o2] : w.tasks)
                if (o2.job == t.job && o2.index == t.index && o2.phase != "ended") {
                    t.phase = "ended";
                    t.cause = "in_use";
                }
            double cpu = 0;
            for (const auto& [k, o2] : w.tasks)
                if (o2.phase != "ended") cpu += jobs_[o2.job].body.value("vcpus", 0.0);
            if (cpu + jobs_[t.job].body.value("vcpus", 0.0) > (w.type == "small" ? 4.0 : 8.0)) {
                t.phase = "ended";
                t.cause = "full";
            }
            w.tasks[key] = t;
            if (t.phase != "ended") begin(w, key);
            changed(w);
        }
    }
}

void World::begin(Worker& w, const std::string& key) {
    Task& t = w.tasks.at(key);
    const Json& body = jobs_[t.job].body;
    double fetch = w.images.contains(body["cask"].get<std::string>()) ? 0.01 : body.value("image_gb", 0.5);
    t.left_s = body.value("real_s", 5.0);
    std::uint64_t step = ++t.step;
    at(fetch, [this, id = w.id, key, step] { have_image(id, key, step); });
}

void World::have_image(const std::string& id, const std::string& key, std::uint64_t step) {
    auto it = workers_.find(id);
    if (it == workers_.end()) return;
    Worker& w = it->second;
    auto t = w.tasks.find(key);
    if (t == w.tasks.end() || t->second.step != step || t->second.phase != "fetching") return;
    if (w.hung) {
        w.while_hung.push_back([this, id, key, step] { have_image(id, key, step); });
        return;
    }
    const Json& body = jobs_[t->second.job].body;
    w.images.insert(body["cask"].get<std::string>());
    std::string job = t->second.job;
    std::uint32_t attempt = t->second.attempt;
    checker.task_on(now_, job, t->second.index, id);
    // A result is kept: started again, the task is done as soon as it has its image.
    if (finished_[job].contains(t->second.index)) {
        t->second.phase = "running";
        return end_task(w, key, "done");
    }
    if (body["shape"] != "group") return go(id, key);
    t->second.phase = "waiting";
    changed(w);
    std::vector<std::pair<std::string, std::string>> members;
    gang_at_[job].insert(id);
    for (const auto& wid : gang_at_[job])
        if (auto o = workers_.find(wid); o != workers_.end())
            for (auto& [k, m] : o->second.tasks)
                if (m.job == job && m.attempt == attempt && m.phase == "waiting")
                    members.emplace_back(wid, k);
    if (static_cast<int>(members.size()) == body["shards"].get<int>()) {
        for (auto& [wid, k] : members) go(wid, k);
        return;
    }
    std::uint64_t wait_step = t->second.step;
    at(gang_wait_s, [this, id, key, wait_step] {
        auto ww = workers_.find(id);
        if (ww == workers_.end()) return;
        auto m = ww->second.tasks.find(key);
        if (m != ww->second.tasks.end() && m->second.phase == "waiting" && m->second.step == wait_step)
            end_task(ww->second, key, "alone");
    });
}

void World::go(const std::string& id, const std::string& key) {
    Worker& w = workers_.at(id);
    Task& t = w.tasks.at(key);
    t.phase = "running";
    std::uint64_t step = ++t.step;
    changed(w);
    const bool bad = w.faulty || bad_jobs.contains(t.job);
    at(bad ? 0.5 : t.left_s, [this, id, key, step, bad] {
        auto it = workers_.find(id);
        if (it == workers_.end()) return;
        auto m = it->second.tasks.find(key);
        if (m == it->second.tasks.end() || m->second.step != step || m->second.phase != "running") return;
        auto finish = [this, id, key, step, bad] {
            auto w2 = workers_.find(id);
            if (w2 == workers_.end()) return;
            auto m2 = w2->second.tasks.find(key);
            if (m2 == w2->second.tasks.end() || m2->second.step != step) return;
            end_task(w2->second, key, bad ? "error" : "done");
        };
        if (it->second.hung)
            it->second.while_hung.push_back(finish);
        else
            finish();
    });
}

void World::end_task(Worker& w, const std::string& key, const std::string& cause, bool kept) {
    Task& t = w.tasks.at(key);
    if (t.phase == "ended") return;
    if (t.phase != "fetching") checker.task_off(t.job, t.index, w.id);
    t.phase = "ended";
    t.cause = cause;
    t.kept = kept;
    ++t.step;
    changed(w);
    const bool service = jobs_[t.job].body.value("shape", "") == "service";  // its replicas keep no result
    if (cause == "done" && !service) {
        // A gang completes together: when one task is done, all of them are.
        const bool gang = jobs_[t.job].body.value("shape", "") == "group";
        for (int i = 0; i < jobs_[t.job].body["shards"].get<int>(); ++i)
            if (gang || i == t.index) {
                finished_[t.job].insert(i);
                checker.task_done(t.job, i);
            }
    } else if (jobs_[t.job].body.value("shape", "") == "group")
        gang_lost(t.job, t.attempt);
}

void World::gang_lost(const std::string& job, std::uint32_t attempt) {
    at(gang_peer_s * 0.5, [this, job, attempt] {
        for (const auto& id : gang_at_[job]) {
            auto w = workers_.find(id);
            if (w == workers_.end()) continue;
            for (auto& [key, t] : w->second.tasks)
                if (t.job == job && t.attempt == attempt && (t.phase == "running" || t.phase == "saving")) {
                    end_task(w->second, key, "peers");
                    return gang_lost(job, attempt);
                }
        }
    });
}

void World::copy_of_report(const std::string& machine, int to, double delay) {
    at(delay, [this, to, body = report_body(workers_.at(machine))] {
        if (up(to))
            ask_node(static_cast<std::size_t>(to), "copy", {"POST", "/checkin", body},
                     [](const HttpResponse&) {});
    });
}

void World::keep_for_next(const Worker& w, const std::string& body) {
    const auto term = hosts_[w.node].node->cluster().leader_term(zincdyke::MachineId(w.id));
    if (term) kept_reports_.push_back({w.id, body, *term});
}

void World::send_kept_reports() {
    std::erase_if(kept_reports_, [this](const KeptReport& kept) {
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            if (!hosts_[host].node) continue;
            const auto term = hosts_[host].node->cluster().leader_term(zincdyke::MachineId(kept.machine));
            if (!term || *term <= kept.term) continue;
            // Some before the machine's own next report.
            const double lag = chance() < 0.5 ? 0.1 * chance() : 3 * chance();
            at(lag, [this, host, life = hosts_[host].life, body = kept.body] {
                deliver(host, life, 0, [this, host, body] {
                    ask_node(host, "copy", {"POST", "/checkin", body}, [](const HttpResponse&) {});
                });
            });
            return true;
        }
        return false;
    });
}

void World::watch_waiting() {
    if (checker.troubles_over < 0 || static_cast<std::uint64_t>(now_ * 10) % 10 != 0) return;
    std::map<std::string, std::pair<double, double>> used;  // by team
    std::map<std::string, double> free;
    for (const auto& [id, w] : workers_) {
        double cpu = w.type == "small" ? 4 : 8;
        for (const auto& [key, t] : w.tasks)
            if (t.phase != "ended") {
                const Json& b = jobs_[t.job].body;
                cpu -= b.value("vcpus", 0.0);
                auto& u = used[b.value("crew", "")];
                u.first += b.value("vcpus", 0.0);
                u.second += b.value("gpus", 0.0);
            }
        const bool there =
            w.alive && !w.hung && !w.faulty && !w.notice_at && w.node != SIZE_MAX && w.term > 0;
        if (there) free[id] = cpu;
    }
    for (const auto& [id, text] : jobs_) {
        const Json& b = text.body;
        const int tasks = b.value("shards", 0);
        int begun = static_cast<int>(finished_[id].size());
        std::set<std::string> zones_used;
        for (const auto& [wid, w] : workers_)
            for (const auto& [key, t] : w.tasks)
                if (t.job == id && t.phase != "ended") {
                    ++begun;
                    zones_used.insert(w.zone);
                }
        const bool gang = b.value("shape", "") == "group";
        const int wants = gang ? (begun == 0 ? tasks : 0) : std::min(1, tasks - begun);
        const zincdyke::testing::TeamLimit limit = checker.limits[b.value("crew", "")];
        const auto& u = used[b.value("crew", "")];
        const bool under = (limit.cpu <= 0 || u.first + wants * b.value("vcpus", 0.0) <= limit.cpu + 1e-6) &&
                           (limit.gpu <= 0 || u.second + wants * b.value("gpus", 0.0) <= limit.gpu + 1e-6);
        std::map<std::string, int> fits;  // by zone
        int all = 0;
        for (const auto& [wid, cpu] : free) {
            const Worker& w = workers_.at(wid);
            if (w.type == "small" && b.value("gpus", 0.0) > 0) continue;
            if (!b.value("loaners", false) && w.spot) continue;
            if (b.contains("field") && b["field"].is_string() && b["field"] != w.zone) continue;
            if (b.contains("breeds") && b["breeds"].is_array() &&
                std::find(b["breeds"].begin(), b["breeds"].end(), w.type) == b["breeds"].end())
                continue;
            const int n = static_cast<int>((cpu + 1e-6) / std::max(0.1, b.value("vcpus", 1.0)));
            fits[w.zone] += n;
            all += n;
        }
        int most = all;
        if (b.value("one_zone", false)) {
            most = 0;
            for (const auto& [z, n] : fits)
                if (zones_used.empty() || zones_used.contains(z)) most = std::max(most, n);
        }
        const bool waits = text.accepted && wants > 0 && under && most >= wants &&
                           !cancelling_.contains(id) && told_[id] != "done" && told_[id] != "withdrawn" &&
                           !bad_jobs.contains(id);
        if (!waits) {
            could_start_since_.erase(id);
            continue;
        }
        auto [since, fresh] = could_start_since_.try_emplace(id, now_);
        if (now_ - std::max(since->second, checker.troubles_over) > 90) {
            checker.waited_with_room(id);
            since->second = now_;
        }
    }
}

int World::placed_on(const std::string& machine) const {
    int n = 0;
    for (const auto& [key, v] : store.data)
        if (key.rfind("z/t/", 0) == 0)
            for (const auto& e : v.first.value("p", Json::array()))
                if (e.at(2) == machine) ++n;
    return n;
}

int World::on_machines(const std::string& job) const {
    int n = 0;
    for (const auto& [id, w] : workers_)
        for (const auto& [key, t] : w.tasks)
            if (t.job == job && t.phase != "ended" && t.phase != "fetching") ++n;
    return n;
}

// ---- users ----

Json World::job(const std::string& id, int tasks, double cpu, double run_s, const std::string& team) {
    return {{"uid", id},          {"ilk", "c"},      {"crew", team},     {"shape", "batch"},
            {"rank", "standard"}, {"shards", tasks}, {"vcpus", cpu},     {"gpus", 0.0},
            {"ram_gb", 1.0},      {"cask", "img"},   {"image_gb", 0.5},  {"one_zone", false},
            {"apart", false},     {"loaners", true}, {"guess_s", run_s}, {"mark_every_s", 0.0},
            {"stow_s", 0.0},      {"real_s", run_s}};
}

void World::user_request(const std::string& id, const std::string& method, const std::string& path,
                         const std::string& body, int via, bool submission, int tries) {
    if (tries <= 0) {
        if (!submission) cancelling_.erase(id);  // its user gives up cancelling, and goes on asking
        return;
    }
    int target = via >= 0 ? via : static_cast<int>(rng() % hosts_.size());
    auto answered = std::make_shared<bool>(false);
    const bool cancelling = path.find("/cancel") != std::string::npos;
    const bool repeat = submission || cancelling;
    auto again = [this, id, method, path, body, via, submission, tries] {
        at(1, [this, id, method, path, body, via, submission, tries] {
            user_request(id, method, path, body, via, submission, tries - 1);
        });
    };
    at(repeat ? 5 : 1.9, [answered, again, repeat] {
        if (!std::exchange(*answered, true) && repeat) again();
    });
    if (!up(target)) return;
    const auto host = static_cast<std::size_t>(target);
    send("users", name(target),
         [this, id, method, path, body, target, host, answered, again, submission, repeat, sent = now_] {
             if (!up(target)) return;
             auto take = [this, id, method, path, body, target, answered, again, submission, repeat,
                          sent](HttpResponse r) {
                 send(name(target), "users",
                      [this, id, method, path, body, answered, again, submission, repeat, r, sent] {
                          if (std::exchange(*answered, true)) return;
                          slowest_answer = std::max(slowest_answer, now_ - sent);
                          if (r.status < 300)
                              repeat_later({method, path, body}, [this, id, method, path, body, submission] {
                                  const auto any = static_cast<std::size_t>(rng() % hosts_.size());
                                  if (!hosts_[any].node || frozen(any)) return;
                                  ask_node(any, "copy", {method, path, body},
                                           [this, id, submission](const HttpResponse& late) {
                                               Json j = Json::parse(late.body, nullptr, false);
                                               checker.told(now_, id, submission, late.status,
                                                            j.is_object() ? j.value("phase", "") : "");
                                           });
                              });
                          Json j = Json::parse(r.body, nullptr, false);
                          std::string phase = j.is_object() ? j.value("phase", "") : "";
                          checker.told(now_, id, submission, r.status, phase);
                          if (r.status == 200 || r.status == 201) {
                              if (submission) jobs_[id].accepted = true;
                              told_[id] = phase;
                              if (repeat && !submission) cancelling_.erase(id);
                          } else if (r.status >= 429 && repeat) {
                              again();
                          }
                      });
             };
             deliver(host, hosts_[host].life, 0, [this, host, method, path, body, take] {
                 ask_node(host, "users", {method, path, body}, take);
             });
         });
}

void World::submit(const Json& body, int via) {
    std::string id = body["uid"].get<std::string>();
    jobs_[id].body = body;
    JobFacts f;
    f.team = body["crew"].get<std::string>();
    f.tasks = body["shards"].get<int>();
    f.job_class = body.value("ilk", "");
    f.at = now_;
    f.cpu = body["vcpus"].get<double>();
    f.gpu = body["gpus"].get<double>();
    f.one_zone = body["one_zone"].get<bool>();
    f.spread = body["apart"].get<bool>();
    f.spot = body["loaners"].get<bool>();
    if (body.contains("field") && body["field"].is_string()) f.zone = body["field"].get<std::string>();
    if (body.contains("breeds") && body["breeds"].is_array()) {
        f.types_given = true;
        for (const auto& t : body["breeds"]) f.types.insert(t.get<std::string>());
    }
    checker.submitted(id, f);
    user_request(id, "POST", "/api/jobs", body.dump(), via, true, 60);
}

void World::poll(const std::string& id, int via) {
    checker.asked(now_, id);
    // A user has one request under way at a time: answers of two could arrive in either order.
    if (!cancelling_.contains(id)) user_request(id, "GET", "/api/jobs/" + id, "", via, false, 1);
}

void World::cancel(const std::string& id, int via) {
    checker.asked_to_cancel(id);
    cancelling_.insert(id);
    at(2, [this, id, via] { user_request(id, "POST", "/api/jobs/" + id + "/cancel", "", via, false, 60); });
}

HttpResponse World::ask(int i, const std::string& method, const std::string& path, const std::string& body,
                        double most) {
    auto got = std::make_shared<std::optional<HttpResponse>>();
    ask_node(static_cast<std::size_t>(i), "users", {method, path, body},
             [got](HttpResponse r) { *got = std::move(r); });
    run_until([got] { return got->has_value(); }, most);
    return got->value_or(HttpResponse{});
}

}  // namespace zincdyke::testing
