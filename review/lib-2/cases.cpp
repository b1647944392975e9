// The cases of the second review. cases NAME FOLDER runs one, writes FOLDER/record.txt, and exits with 1 if the rule was
// broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "rig.h"

namespace rig {
namespace {

bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string team(const std::string& name, double cpus, double cpus_max, double gpus, double gpus_max) {
    return "[[params.teams]]\nname = \"" + name + "\"\ncpus = " + std::to_string(cpus) + "\ncpus_max = " +
           std::to_string(cpus_max) + "\ngpus = " + std::to_string(gpus) + "\ngpus_max = " + std::to_string(gpus_max) + "\n";
}

std::string objective(const std::string& kind, const std::string& job_class, double within_s, double share) {
    return "[[params.objectives]]\nkind = \"" + kind + "\"\nclass = \"" + job_class + "\"\nwithin_s = " +
           std::to_string(within_s) + "\nshare = " + std::to_string(share) + "\n";
}

// kit/added/tavernier-karaoke.toml; one of its teams.
Site tavernier() {
    Site site;
    site.controllers = 3;  // as in the small form of its days
    site.zones = {"estrie", "mauricie", "beauce"};
    site.clock_off_ms = 25;
    site.rps = 150, site.write_rps = 50, site.value_kb = 8, site.txn_ops = 16, site.state_latency_s = 0.002;
    site.cloud_rps = 6, site.cloud_latency_s = 0.25, site.list_lag_s = 4;
    site.report_s = 10, site.lease_s = 45, site.gang_wait_s = 40, site.gang_peer_s = 6, site.cancel_s = 70;
    site.core_share = 0.16, site.memory_mb = 264, site.max_sockets = 6000;
    site.teams = team("refrain", 0, 0, 900, 2000);
    site.objectives = objective("wait", "nettoyeurs-pistes", 70, 0.82) + objective("wait", "nettoyeurs-pistes", 250, 0.997) +
                      objective("finished", "nettoyeurs-pistes", 350, 0.95) + objective("wait", "juges-concours", 12, 0.82) +
                      objective("wait", "juges-concours", 60, 0.992) + objective("finished", "juges-concours", 400, 0.93);
    site.types = {{"boite-gpu-modeste", 24, 4, 96, 120, 0.4, 12.13, 4.42, 35},
                  {"boite-gpu-costaude", 64, 8, 512, 150, 0.6, 26.66, 9.55, 40}};
    return site;
}

// kit/sites/leerlening-jhb.toml, with two of its machine types and one of its teams.
Site leerlening() {
    Site site;
    site.zones = {"highveld"};
    site.clock_off_ms = 25;
    site.rps = 200, site.write_rps = 25, site.value_kb = 8, site.txn_ops = 8, site.state_latency_s = 0.002;
    site.cloud_rps = 4, site.cloud_latency_s = 0.12, site.list_lag_s = 10;
    site.report_s = 2, site.lease_s = 10, site.gang_wait_s = 50, site.gang_peer_s = 6, site.cancel_s = 30;
    site.core_share = 0.12, site.memory_mb = 72, site.max_sockets = 1200;
    site.teams = team("kredietbank-01", 0, 0, 0, 0);
    site.objectives = objective("wait", "risiko-bende", 12, 0.75) + objective("finished", "risiko-bende", 80, 0.82) +
                      objective("finished", "beurs-reeks", 120, 0.9) + objective("wait", "staat-reeks", 180, 0.88) +
                      objective("finished", "staat-reeks", 250, 0.975);
    site.types = {{"klein-vier", 4, 0, 32, 30, 0.2, 0.18, 0.07, 30}, {"gpu-twintig", 24, 2, 96, 150, 1, 4.19, 1.97, 60}};
    return site;
}

// kit/next/leerlening-jhb-grown.toml, with three controllers as in the small form of its days.
Site leerlening_grown() {
    Site site = leerlening();
    site.teams = team("kredietbank-01", 0, 0, 0, 0) + team("kredietbank-02", 0, 0, 0, 0);
    site.objectives = objective("wait", "risiko-bende", 12, 0.88) + objective("finished", "risiko-bende", 150, 0.9) +
                      objective("finished", "beurs-reeks", 250, 0.9) + objective("finished", "beurs-reeks", 400, 0.9) +
                      objective("wait", "staat-reeks", 150, 0.98) + objective("finished", "staat-reeks", 250, 0.98);
    return site;
}

// kit/next/quiz-soir-qc-grown.toml with its objectives; its limits for the controllers are those of kit/sites/quiz-soir-qc.toml.
Site quiz() {
    Site site;
    site.zones = {"laurentides"};
    site.teams = team("manche", 0, 0, 150, 350) + team("ardoise", 0, 0, 350, 1000);
    site.objectives = objective("wait", "batterie-manches", 18, 0.85) + objective("wait", "batterie-manches", 30, 0.96) +
                      objective("finished", "batterie-manches", 250, 0.94) + objective("finished", "lot-photos", 250, 0.88) +
                      objective("finished", "lot-photos", 400, 0.94);
    site.types = {{"boite-gpu-douze", 12, 2, 96, 150, 0.3, 5.55, 1.99, 25}};
    return site;
}

// kit/change/quiz-soir-qc-next.toml, with guarantees in CPUs that fit four machines.
Site quiz_next() {
    Site site = quiz();
    site.teams = team("manche", 24, 48, 0, 0) + team("ardoise", 24, 48, 0, 0);
    site.objectives = objective("wait", "batterie-manches", 18, 0.82) + objective("wait", "service-pointage", 4, 0.82);
    return site;
}

Json job(const std::string& id, const std::string& job_class, const std::string& crew, const std::string& shape, int tasks,
         double cpus, double gpus, double ram_gb) {
    return {{"uid", id},          {"ilk", job_class}, {"crew", crew},     {"shape", shape},        {"rank", "standard"},
            {"shards", tasks},    {"vcpus", cpus},    {"gpus", gpus},     {"ram_gb", ram_gb},      {"cask", "img-01"},
            {"image_gb", 1.0},    {"breeds", nullptr}, {"field", nullptr}, {"one_zone", false},    {"apart", false},
            {"loaners", true},    {"guess_s", 15.0},  {"mark_every_s", 0.0}, {"stow_s", 0.0},      {"due_s", nullptr},
            {"real_s", 15.0}};
}

// Waits until a job has started, or for 90 s and a little more. Returns whether it started.
bool starts_within_90_s(Rig& rig, const std::string& id) {
    const double from = rig.now();
    while (rig.now() < from + 92 && rig.starts(id) == 0) {
        rig.run_for(3);
        rig.poll(id);
    }
    rig.run_for(1);
    return rig.starts(id) > 0;
}

Json gang_of_cleaners(const std::string& id, int tasks) {
    return {{"uid", id},          {"ilk", "nettoyeurs-pistes"}, {"crew", "refrain"}, {"shape", "group"},
            {"rank", "standard"}, {"shards", tasks},            {"vcpus", 21.0},     {"gpus", 4.0},
            {"ram_gb", 77.0},     {"cask", "img-03"},           {"image_gb", 4.0},   {"breeds", nullptr},
            {"field", nullptr},   {"one_zone", true},           {"apart", false},    {"loaners", false},
            {"guess_s", 22.0},    {"mark_every_s", 15.0},       {"stow_s", 2.0},     {"due_s", nullptr},
            {"real_s", 25.0}};
}

// An accepted gang that needs one machine more than are up must run: the cloud rents whatever is asked for.
int gang_after_a_machine_died(Rig& rig) {
    Worker& first = rig.add_machine("boite-gpu-modeste", "estrie", false, 0.1);
    Worker& second = rig.add_machine("boite-gpu-modeste", "estrie", false, 0.1);
    rig.run_for(0.3);
    if (with_trouble()) second.die();
    rig.start_controllers();
    if (!rig.wait_healthy(0, 15)) throw CannotRun("no controller is healthy");
    if (!rig.run_until([&] { return first.baton > 0; }, 10)) throw CannotRun("the first machine got no answer");
    rig.run_for(1);
    const std::string id = "job-000412";
    rig.submit(gang_of_cleaners(id, 2));
    if (!rig.run_until([&] { return rig.is_accepted(id); }, 10)) throw CannotRun("not accepted");
    const double accepted = rig.now();
    while (rig.now() < accepted + 92 && rig.phase(id) != "done") {
        rig.run_for(4);
        rig.poll(id);
    }
    rig.run_for(1);
    rig.note("starts " + std::to_string(rig.starts(id)) + ", rental requests " + std::to_string(rig.rental_requests));
    return rig.starts(id) > 0 ? 0 : 1;
}

// A gang that may have at most half of its tasks in one zone must run again after its machine in one of the zones died.
int apart_after_a_machine_died(Rig& rig) {
    Worker& first = rig.add_machine("boite-gpu-modeste", "estrie", false, 0.1);
    Worker& second = rig.add_machine("boite-gpu-modeste", "mauricie", false, 0.1);
    rig.run_for(0.3);
    if (with_trouble()) second.die();
    rig.start_controllers();
    if (!rig.wait_healthy(0, 15)) throw CannotRun("no controller is healthy");
    if (!rig.run_until([&] { return first.baton > 0; }, 10)) throw CannotRun("the first machine got no answer");
    rig.run_for(1);
    const std::string id = "job-000413";
    Json job = gang_of_cleaners(id, 2);
    job["one_zone"] = false;
    job["apart"] = true;
    job["guess_s"] = 100.0, job["real_s"] = 60.0;
    rig.submit(job);
    if (!rig.run_until([&] { return rig.is_accepted(id); }, 10)) throw CannotRun("not accepted");
    const double accepted = rig.now();
    while (rig.now() < accepted + 92 && rig.phase(id) != "done") {
        rig.run_for(4);
        rig.poll(id);
    }
    rig.run_for(1);
    rig.note("starts " + std::to_string(rig.starts(id)) + ", rental requests " + std::to_string(rig.rental_requests));
    return rig.starts(id) > 0 ? 0 : 1;
}

// Tasks without GPUs wait beside a machine that fits and has room: it has GPUs, and their own kind of machine died.
int no_gpu_beside_room(Rig& rig) {
    Worker& gpu = rig.add_machine("gpu-twintig", "highveld", false, 0.1);
    Worker& small = rig.add_machine("klein-vier", "highveld", false, 0.1);
    rig.cloud_has_capacity = false;
    rig.run_for(0.3);
    if (with_trouble()) small.die();
    rig.start_controllers();
    if (!rig.wait_healthy(0, 15)) throw CannotRun("no controller is healthy");
    if (!rig.run_until([&] { return gpu.baton > 0; }, 10)) throw CannotRun("the machine with GPUs got no answer");
    // Half of the machine with GPUs is busy all along.
    Json busy = job("job-000001", "beurs-reeks", "kredietbank-01", "batch", 1, 10, 1, 36);
    busy["guess_s"] = 100.0, busy["real_s"] = 110.0, busy["mark_every_s"] = 30.0, busy["stow_s"] = 2.0;
    rig.submit(busy);
    if (!rig.run_until([&] { return rig.starts("job-000001") > 0; }, 15)) throw CannotRun("the first job did not start");
    Json waiting = job("job-000002", "staat-reeks", "kredietbank-01", "batch", 1, 4, 0, 11);
    waiting["rank"] = "high";
    rig.submit(waiting);
    if (!rig.run_until([&] { return rig.is_accepted("job-000002"); }, 10)) throw CannotRun("not accepted");
    return starts_within_90_s(rig, "job-000002") ? 0 : 1;
}

// A task waits beside three idle machines: they are kept for a gang of four, and the fourth machine died.
int kept_for_a_gang(Rig& rig) {
    for (int i = 0; i < 4; ++i) rig.add_machine("gpu-twintig", "highveld", false, 0.1);
    rig.cloud_has_capacity = false;
    rig.run_for(0.3);
    if (with_trouble()) rig.machines.rbegin()->second->die();
    rig.start_controllers();
    if (!rig.wait_healthy(0, 15)) throw CannotRun("no controller is healthy");
    if (!rig.run_until([&] { return std::all_of(rig.machines.begin(), rig.machines.end(), [](const auto& m) { return !m.second->alive || m.second->baton > 0; }); }, 10))
        throw CannotRun("a machine got no answer");
    Json gang = job("job-000001", "risiko-bende", "kredietbank-01", "group", 4, 21, 2, 77);
    gang["rank"] = "high", gang["one_zone"] = true, gang["loaners"] = false, gang["mark_every_s"] = 15.0, gang["stow_s"] = 5.0;
    gang["guess_s"] = 90.0, gang["real_s"] = 15.0;
    rig.submit(gang);
    if (!rig.run_until([&] { return rig.is_accepted("job-000001"); }, 10)) throw CannotRun("the gang was not accepted");
    rig.run_for(1);
    Json bursary = job("job-000002", "beurs-reeks", "kredietbank-02", "batch", 1, 10, 1, 36);
    bursary["guess_s"] = 40.0, bursary["mark_every_s"] = 30.0, bursary["stow_s"] = 2.0;
    rig.submit(bursary);
    if (!rig.run_until([&] { return rig.is_accepted("job-000002"); }, 10)) throw CannotRun("not accepted");
    return starts_within_90_s(rig, "job-000002") ? 0 : 1;
}

// A team that is within its guarantee waits for another that runs beyond its own after a burst.
int guarantee_after_burst(Rig& rig) {
    for (int i = 0; i < 4; ++i) rig.add_machine("boite-gpu-douze", "laurentides", false, 0.1);
    rig.cloud_has_capacity = false;
    rig.run_for(0.3);
    rig.start_controllers();
    if (!rig.wait_healthy(0, 15)) throw CannotRun("no controller is healthy");
    if (!rig.run_until([&] { return std::all_of(rig.machines.begin(), rig.machines.end(), [](const auto& m) { return m.second->baton > 0; }); }, 10))
        throw CannotRun("a machine got no answer");
    const int services = with_trouble() ? 6 : 3;
    std::vector<std::string> ids;
    for (int i = 0; i < services; ++i) {
        ids.push_back("job-00001" + std::to_string(i));
        Json service = job(ids.back(), "service-pointage", "ardoise", "service", 4, 2, 0, 12.8);
        service["rank"] = "critical", service["loaners"] = false, service["guess_s"] = 0.0;
        rig.submit(service);
    }
    if (!rig.run_until([&] { return std::all_of(ids.begin(), ids.end(), [&](const auto& id) { return rig.starts(id) >= 4; }); }, 30))
        throw CannotRun("the services did not start");
    Json photos = job("job-000002", "portraits", "manche", "batch", 2, 5, 1, 36);
    photos["rank"] = "high";
    rig.submit(photos);
    if (!rig.run_until([&] { return rig.is_accepted("job-000002"); }, 10)) throw CannotRun("not accepted");
    return starts_within_90_s(rig, "job-000002") ? 0 : 1;
}

struct Case {
    const char* name;
    Site (*site)();
    int (*run)(Rig&);
};
constexpr Case all_cases[] = {{"gang-after-a-machine-died", tavernier, gang_after_a_machine_died},
                              {"apart-after-a-machine-died", tavernier, apart_after_a_machine_died},
                              {"no-gpu-beside-room", leerlening, no_gpu_beside_room},
                              {"kept-for-a-gang", leerlening_grown, kept_for_a_gang},
                              {"guarantee-after-burst", quiz_next, guarantee_after_burst}};

int run(const std::string& name, const std::string& folder) {
    for (const Case& known : all_cases) {
        if (name != known.name) continue;
        Rig rig(known.site(), "target/zincdyke", folder);
        const int result = known.run(rig);
        // Only the rule of the case decides. Others are told, and are in the record.
        for (const auto& violation : rig.violations) std::cout << "another rule: " << violation << "\n";
        const bool broken = result != 0;
        rig.note(broken ? "RULE BROKEN" : "rule held");
        std::cout << name << (with_trouble() ? "" : " without the disruption") << ": "
                  << (broken ? "rule broken" : "rule held") << "\n";
        return broken ? 1 : 0;
    }
    throw CannotRun("no case " + name);
}

}  // namespace
}  // namespace rig

int main(int argc, char** argv) {
    if (argc != 3) return 2;
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) ::signal(signal, [](int) { rig::stop_asked = 1; });
    try {
        return rig::run(argv[1], argv[2]);
    } catch (const std::exception& error) {
        std::cerr << "cannot run: " << error.what() << "\n";
        return 2;
    }
}
