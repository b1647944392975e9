#include "jobs/jobs_api.h"

#include <algorithm>

#include "base/log.h"
#include "sched/logic.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr std::size_t most_open = 1000;  // requests being worked on; more are told to come back
constexpr Duration submit_limit = std::chrono::milliseconds(3500);
}  // namespace

const FinalCache::Entry* FinalCache::find(const JobId& id) {
    auto it = at_.find(id);
    if (it == at_.end()) return nullptr;
    order_.splice(order_.begin(), order_, it->second);
    return &it->second->second;
}

void FinalCache::put(const JobId& id, Entry e) {
    if (at_.contains(id)) return;
    order_.emplace_front(id, e);
    at_[id] = order_.begin();
    if (order_.size() > most_) {
        at_.erase(order_.back().first);
        order_.pop_back();
    }
}

JobsApi::JobsApi(Env& env, const Settings& settings, StoreClient& store, StateCache& model,
                 ClusterCoordinator& cluster, PeerChannel& peers)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(model),
      cluster_(cluster),
      peers_(peers),
      finals_(static_cast<std::size_t>(std::max(1000.0, settings.memory_mb * 100))) {}

bool JobsApi::ready() const { return cluster_.is_synced() && !state_cache_.machine_types().empty(); }

HttpResponse JobsApi::later(int s) { return {503, R"({"error":"try again later"})", s}; }

bool JobsApi::handle(const HttpRequest& req, const Reply& reply) {
    const std::string root = "/api/jobs";
    std::string path = req.path.substr(0, req.path.find('?'));
    if (path.rfind(root, 0) != 0) return false;
    std::string rest = path.substr(root.size());
    if (!rest.empty() && rest[0] != '/') return false;
    const bool cancelling = rest.size() > 7 && rest.compare(rest.size() - 7, 7, "/cancel") == 0;
    if (cancelling) rest.resize(rest.size() - 7);
    const bool post = req.method == "POST";
    const bool shape = rest.empty() ? post : (cancelling ? post : req.method == "GET");
    if (!shape) {
        reply({405, R"({"error":"method not allowed"})", -1});
        return true;
    }
    if (!rest.empty() && !wire::valid_job_id(std::string_view(rest).substr(1))) {
        reply({404, R"({"error":"no such job"})", -1});
        return true;
    }
    JobId id(rest.empty() ? "" : rest.substr(1));
    if (!id.empty() && !cancelling) {
        if (const auto* end = finals_.find(id)) {
            Found f;
            f.what = Found::What::final_state;
            f.end = *end;
            reply(answer(id, f, 200));
            return true;
        }
    }
    // Told at once when to come back: no answer is held to keep a user from asking again.
    if (!cluster_.is_synced() || !store_.reachable() || open_ >= most_open) {
        reply(later(1));
        return true;
    }
    ++open_;
    Reply counted = [this, reply](HttpResponse r) {
        --open_;
        reply(std::move(r));
    };
    if (id.empty())
        submit(req, counted);
    else if (cancelling)
        cancel(id, env_.now() + submit_limit, counted);
    else
        poll(id, counted);
    return true;
}

void JobsApi::look_up(const JobId& id, const OnFound& done) {
    if (const auto* end = finals_.find(id)) {
        Found f;
        f.what = Found::What::final_state;
        f.end = *end;
        return done(std::move(f));
    }
    // A job moves from its live record to its final one in one commit: read in this order it is never missed.
    store_.get(keys::job(id), RequestPriority::user, [this, id, done](const GetResult& g) {
        Found f;
        if (g.outcome == Outcome::ok) {
            state_cache_.apply({keys::job(id), g.value, g.version});
            if (auto j = records::decode_job(g.value)) {
                f.what = Found::What::live;
                j->version = g.version;
                f.job = std::move(*j);
            }
            return done(std::move(f));
        }
        if (g.outcome != Outcome::not_found) return done(std::move(f));
        look_up_final(id, done);
    });
}

void JobsApi::look_up_final(const JobId& id, const OnFound& done) {
    store_.get(keys::final_state(id), RequestPriority::user, [this, id, done](const GetResult& e) {
        Found found;
        if (e.outcome == Outcome::ok) {
            found.what = Found::What::final_state;
            found.end.phase = e.value.value("s", "") == "done" ? wire::Phase::done : wire::Phase::cancelled;
            found.end.tasks = e.value.value("n", std::int64_t{0});
            finals_.put(id, found.end);
        } else if (e.outcome == Outcome::not_found) {
            found.what = Found::What::none;
        }
        done(std::move(found));
    });
}

// Read through, together with others: what the model holds after a read that was sent later than the question
// came is no older than what any node has told of the job. One that is not there then is over, or was never
// accepted: its final record tells.
void JobsApi::poll(const JobId& id, Reply reply) {
    cluster_.read_through([this, id, reply = std::move(reply)](bool fresh) {
        if (!fresh) return reply(later(1));
        Found f;
        if (const Job* j = state_cache_.job(id); j != nullptr) {
            f.what = Found::What::live;
            f.job.cancelled = j->cancelled;
            return reply(answer(id, f, 200));
        }
        if (state_cache_.version(keys::job(id)) != Revision{})
            return reply(later(1));  // there, and unreadable
        look_up_final(id, [this, id, reply](const Found& found) { reply(answer(id, found, 200)); });
    });
}

HttpResponse JobsApi::answer(const JobId& id, const Found& f, int live_status) const {
    switch (f.what) {
        case Found::What::trouble:
            return later(1);
        case Found::What::none:
            return {404, R"({"error":"no such job"})", -1};
        case Found::What::final_state:
            return {200, wire::job_answer(id, f.end.phase, f.end.tasks, 0), -1};
        case Found::What::live:
            break;
    }
    const Job* j = state_cache_.job(id);
    if (f.job.cancelled) return {live_status, wire::job_answer(id, wire::Phase::cancelled), -1};
    const std::int64_t running = j != nullptr ? j->placed : 0, done = j != nullptr ? j->done : 0;
    return {live_status,
            wire::job_answer(id, running > 0 ? wire::Phase::running : wire::Phase::queued, done, running),
            -1};
}

std::string JobsApi::never_runs(const wire::JobSpec& s) const {
    auto team = settings_.teams.find(s.team);
    if (team == settings_.teams.end()) return "unknown team";
    if (std::none_of(state_cache_.machine_types().begin(), state_cache_.machine_types().end(),
                     [&](const auto& t) { return sched::type_allowed(s, t); }))
        return "no allowed machine type fits a task";
    // All members of a gang, and all replicas of a service, run at the same time.
    const auto n = s.shape == wire::Shape::array ? 1 : static_cast<std::int64_t>(s.tasks);
    const Team& t = team->second;
    if ((t.cpu_max > 0 && s.need.cpu * n > t.cpu_max) || (t.gpu_max > 0 && s.need.gpu * n > t.gpu_max))
        return "more than the team's limit";
    return "";
}

void JobsApi::submit(const HttpRequest& req, const Reply& reply) {
    auto spec = wire::parse_job(req.body);
    if (!spec) return reply(HttpResponse::bad_request(wire::error_answer(spec.error().message)));
    if (!ready()) return reply(later(1));
    if (std::string never = never_runs(*spec); !never.empty())
        return refuse(spec->id, {422, Json{{"error", never}}.dump(), -1}, reply);
    auto j = std::make_shared<Job>();
    j->spec = std::move(*spec);
    j->relay = settings_.node;
    j->submitted = env_.wall();
    if (j->spec.one_zone) {
        // Where it is expected to go; its first start decides (StateCache::required_zone).
        j->assigned_zone = j->spec.zone;
        for (const auto& t : state_cache_.machine_types())
            if (!j->assigned_zone && sched::type_allowed(j->spec, t) && !t.zones.empty())
                j->assigned_zone = t.zones[std::hash<JobId>()(j->spec.id) % t.zones.size()];
    }
    if (state_cache_.job(j->spec.id) != nullptr)
        return look_up(j->spec.id,
                       [this, id = j->spec.id, reply](const Found& f) { reply(answer(id, f, 200)); });
    accept(j, env_.now() + submit_limit, reply);
}

// A job accepted under other settings, limits or types is still known, whatever would be said of it now.
void JobsApi::refuse(const JobId& id, const HttpResponse& refusal, const Reply& reply) {
    look_up(id, [this, id, refusal, reply](const Found& f) {
        reply(f.what == Found::What::none ? refusal : answer(id, f, 200));
    });
}

void JobsApi::accept(const std::shared_ptr<Job>& j, SteadyTime until, const Reply& reply) {
    Transaction txn;
    const JobId id = j->spec.id;
    txn.conditions = {{keys::job(id), Revision{}}, {keys::final_state(id), Revision{}}};
    txn.writes.push_back({keys::job(id), state_cache_.encode_job(*j), std::nullopt});
    if (!store_.is_within_limits(txn))
        return refuse(id, {400, R"({"error":"description too large"})", -1}, reply);
    store_.commit(txn, RequestPriority::user, [this, j, id, txn, until, reply](const CommitResult& r) {
        if (r.outcome == Outcome::ok) {
            state_cache_.apply({keys::job(id), txn.writes[0].value, r.revision});
            log::info("event=job_accepted job={} class={} team={} tasks={} revision={}", id.value(),
                      j->spec.job_class, j->spec.team.value(), j->spec.tasks, r.revision.value());
            return reply({201, wire::job_answer(id, wire::Phase::queued), -1});
        }
        if (r.outcome == Outcome::conflict || r.outcome == Outcome::unknown) {
            // Known already, or perhaps accepted by the commit whose answer was lost: read before anything is
            // said.
            return look_up(id, [this, j, id, until, reply](const Found& f) {
                if (f.what == Found::What::none && env_.now() < until && store_.reachable())
                    return accept(j, until, reply);
                reply(f.what == Found::What::none ? later(1) : answer(id, f, 200));
            });
        }
        if (r.outcome == Outcome::refused && env_.now() < until && store_.reachable()) {
            env_.after(millis(150), [this, j, until, reply] { accept(j, until, reply); });
            return;
        }
        reply(later(1));
    });
}

void JobsApi::cancel(const JobId& id, SteadyTime until, const Reply& reply) {
    look_up(id, [this, id, until, reply](const Found& f) {
        if (f.what != Found::What::live || f.job.cancelled) return reply(answer(id, f, 200));
        Job j = f.job;
        j.cancelled = true;
        Transaction txn;
        txn.conditions.push_back({keys::job(id), f.job.version});
        txn.writes.push_back({keys::job(id), state_cache_.encode_job(j), std::nullopt});
        store_.commit(txn, RequestPriority::user, [this, id, txn, until, reply](const CommitResult& r) {
            if (r.outcome == Outcome::ok) {
                state_cache_.apply({keys::job(id), txn.writes[0].value, r.revision});
                log::info("event=job_cancelled job={} revision={}", id.value(), r.revision.value());
                for (const auto& seed : settings_.seeds)
                    peers_.send(seed.node, wire::JobCancelledNotification{id});
                return reply({200, wire::job_answer(id, wire::Phase::cancelled), -1});
            }
            // Done meanwhile, or unknown: look again rather than guess.
            if (env_.now() < until && store_.reachable()) {
                env_.after(millis(r.outcome == Outcome::conflict ? 5 : 150),
                           [this, id, until, reply] { cancel(id, until, reply); });
                return;
            }
            reply(later(1));
        });
    });
}

}  // namespace zincdyke
