// What users and operators are told of input that is wrong: the exact status and text of wrong requests,
// settings and policies. Those who read the answers, and scripts that match them, rely on each byte.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "base/settings.h"
#include "deployment_helpers.h"
#include "policy/policy.h"
#include "wire/json_api.h"

namespace zincdyke::testing {
namespace {

const char* const valid_settings = R"(node = "n0"
zone = "a"
api_addr = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
[[seeds]]
node = "n1"
zone = "a"
address = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
size = 1
zones = ["a"]
skew_ms = 25.0
[[params.teams]]
name = "red"
cpus = 1.0
cpus_max = 2.0
gpus = 0.0
gpus_max = 0.0
[params.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 30.0
[params.state]
rps = 200.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 4.0
list_lag_s = 10.0
[params.machine_limits]
core_share = 0.12
memory_mb = 72.0
max_sockets = 1200
)";

/// The valid settings with one text replaced.
std::string settings_with(const std::string& text, const std::string& replacement) {
    std::string settings = valid_settings;
    settings.replace(settings.find(text), text.size(), replacement);
    return settings;
}

std::string settings_error(const std::string& settings) {
    try {
        parse_settings(settings);
    } catch (const SettingsError& error) {
        return error.what();
    }
    return "";
}

std::string policy_error(const std::string& script) {
    try {
        parse_policy(script, "p.lua");
    } catch (const PolicyError& error) {
        return error.what();
    }
    return "";
}

struct WrongField {
    const char* field;
    Json value;  // null: the field is missing
    int status;
    const char* body;
};

TEST(BadInput, SubmissionsAreToldWhatIsWrong) {
    SimulatedDeployment deployment{DeploymentOptions()};
    deployment.run(5);
    const std::vector<WrongField> cases = {
        {"uid", nullptr, 400, R"({"error":"uid is missing"})"},
        {"uid", "job-x", 400, R"({"error":"uid must look like job-000412"})"},
        {"uid", 7, 400, R"({"error":"uid must be a string of 1 to 64 bytes"})"},
        {"ilk", "", 400, R"({"error":"ilk must be a string of 1 to 200 bytes"})"},
        {"crew", std::string(201, 'x'), 400, R"({"error":"crew must be a string of 1 to 200 bytes"})"},
        {"crew", "nobody", 422, R"({"error":"unknown team"})"},
        {"shape", "blob", 400, R"({"error":"shape must be batch, group or service"})"},
        {"rank", "best", 400, R"({"error":"rank is not known"})"},
        {"shards", 0, 400, R"({"error":"shards must be from 1 to 100000"})"},
        {"shards", 100001, 400, R"({"error":"shards must be from 1 to 100000"})"},
        {"shards", "3", 400, R"({"error":"shards must be a whole number"})"},
        {"vcpus", -1, 400, R"({"error":"vcpus is out of range"})"},
        {"vcpus", 1e10, 400, R"({"error":"vcpus is out of range"})"},
        {"vcpus", "1", 400, R"({"error":"vcpus must be a number"})"},
        {"vcpus", 5000, 422, R"({"error":"no allowed machine type fits a task"})"},
        {"image_gb", true, 400, R"({"error":"image_gb must be a number"})"},
        {"breeds", "small", 400, R"({"error":"breeds must be a list of machine types"})"},
        {"breeds", Json::array({1}), 400, R"({"error":"breeds must be a list of machine types"})"},
        {"breeds", Json::array({"no-such-type"}), 422, R"({"error":"no allowed machine type fits a task"})"},
        {"field", 3, 400, R"({"error":"field must be a string of 1 to 200 bytes"})"},
        {"one_zone", "yes", 400, R"({"error":"one_zone must be true or false"})"},
        {"loaners", nullptr, 400, R"({"error":"loaners is missing"})"},
        {"guess_s", nullptr, 400, R"({"error":"guess_s is missing"})"},
        {"due_s", -5, 400, R"({"error":"due_s is out of range"})"},
    };
    for (const auto& wrong : cases) {
        Json submission = deployment.job("job-000001", 1, 1, 5);
        if (wrong.value.is_null())
            submission.erase(wrong.field);
        else
            submission[wrong.field] = wrong.value;
        const auto response = deployment.request(0, "POST", "/api/jobs", submission.dump());
        const std::string what = std::string(wrong.field) + " " + wrong.value.dump();
        EXPECT_EQ(response.status, wrong.status) << what;
        EXPECT_EQ(response.body, wrong.body) << what;
    }
}

TEST(BadInput, RequestsAreToldWhatIsWrong) {
    SimulatedDeployment deployment{DeploymentOptions()};
    deployment.run(5);
    struct Case {
        const char* method;
        const char* path;
        const char* body;
        int status;
        const char* answer;
    };
    const std::vector<Case> cases = {
        {"POST", "/api/jobs", "{", 400, R"({"error":"not JSON"})"},
        {"POST", "/api/jobs", "[]", 400, R"({"error":"not an object"})"},
        {"GET", "/api/jobs", "", 405, R"({"error":"method not allowed"})"},
        {"GET", "/api/jobs/", "", 404, R"({"error":"no such job"})"},
        {"PUT", "/api/jobs/job-000001", "", 405, R"({"error":"method not allowed"})"},
        {"POST", "/api/jobs/job-000001", "", 405, R"({"error":"method not allowed"})"},
        {"GET", "/api/jobs/job-000001/cancel", "", 405, R"({"error":"method not allowed"})"},
        {"POST", "/api/jobs/job-x/cancel", "", 404, R"({"error":"no such job"})"},
        {"POST", "/api/jobs/job-000001/cancel", "", 404, R"({"error":"no such job"})"},
        {"GET", "/api/jobs/job-000001", "", 404, R"({"error":"no such job"})"},
        {"GET", "/api/jobs/job-000001?full=1", "", 404, R"({"error":"no such job"})"},
        {"GET", "/api/jobs/job-1/x", "", 404, R"({"error":"no such job"})"},
        {"GET", "/api/jobs/cancel", "", 404, R"({"error":"no such job"})"},
        {"POST", "/api/jobs/cancel", "", 405, R"({"error":"method not allowed"})"},
        {"POST", "/api/jobs//cancel", "", 404, R"({"error":"no such job"})"},
        {"GET", "/api/jobsx", "", 404, R"({"error":"no such path"})"},
        {"GET", "/", "", 404, R"({"error":"no such path"})"},
        {"GET", "/checkin", "", 405, "{}"},
        {"POST", "/checkin", "{}", 400, "{}"},
    };
    for (const auto& wrong : cases) {
        const auto response = deployment.request(0, wrong.method, wrong.path, wrong.body);
        const std::string what = std::string(wrong.method) + " " + wrong.path;
        EXPECT_EQ(response.status, wrong.status) << what;
        EXPECT_EQ(response.body, wrong.answer) << what;
    }
}

TEST(BadInput, SettingsNameTheirKeyAndWhatIsAllowed) {
    EXPECT_EQ(settings_error(valid_settings), "");
    EXPECT_EQ(settings_error("node = "),
              "not valid TOML: Error while parsing key-value pair: encountered end-of-file at line 1");
    EXPECT_EQ(settings_error(settings_with("node = \"n0\"", "node = \"\"")),
              "setting 'node': must be a non-empty string");
    EXPECT_EQ(settings_error(settings_with("node = \"n0\"", "")),
              "setting 'node': must be a non-empty string");
    EXPECT_EQ(settings_error(settings_with("10.0.0.1:8080", "host:80")),
              "setting 'api_addr': must be an IPv4 address with a port, such as 10.0.0.1:8080");
    EXPECT_EQ(settings_error(settings_with("10.0.0.2:8081", "10.0.0.2")),
              "in seeds[0]: setting 'address': must be an IPv4 address with a port, such as 10.0.0.1:8080");
    EXPECT_EQ(settings_error(settings_with("lease_s = 10.0", "lease_s = 0")),
              "setting 'params.workers.lease_s': must be a number from 1 to 36000");
    EXPECT_EQ(settings_error(settings_with("lease_s = 10.0", "")),
              "setting 'params.workers.lease_s': must be a number from 1 to 36000");
    EXPECT_EQ(settings_error(settings_with("txn_ops = 8", "txn_ops = 2.5")),
              "setting 'params.state.txn_ops': must be a whole number");
    EXPECT_EQ(settings_error(settings_with("zones = [\"a\"]", "zones = []")),
              "setting 'params.zones': must be a list of zone names");
    EXPECT_EQ(settings_error(settings_with("zones = [\"a\"]", "zones = [1]")),
              "setting 'params.zones': must be a list of zone names");
    EXPECT_EQ(settings_error(settings_with("cpus_max = 2.0", "cpus_max = -1")),
              "in params.teams[0]: setting 'cpus_max': must be a number from 0 to 1e+09");
    EXPECT_EQ(settings_error(settings_with("[[params.teams]]", "[params.teams]")),
              "setting 'params.teams': must be an array of tables");
    EXPECT_EQ(settings_error(settings_with("size = 1", "size = 1\nobjectives = [3]")),
              "setting 'params.objectives[0]': must be a table");
}

TEST(BadInput, PoliciesNameTheirSettingAndWhatIsAllowed) {
    EXPECT_EQ(policy_error("return {}"), "");
    EXPECT_EQ(policy_error("return 3"), "p.lua: must return a table of settings");
    EXPECT_EQ(policy_error("return { no_such = 1 }"), "p.lua: unknown setting 'no_such'");
    EXPECT_EQ(policy_error("return { idle_keep_s = -1 }"),
              "p.lua: setting 'idle_keep_s' must be a number from 0 to 86400");
    EXPECT_EQ(policy_error("return { patience = 'x' }"),
              "p.lua: setting 'patience' must be a number from 0 to 100");
    EXPECT_EQ(policy_error("return { 1 }"), "p.lua: keys must be names of settings");
    EXPECT_EQ(policy_error("return {"), R"(p.lua: [string "p.lua"]:1: unexpected symbol near <eof>)");
    EXPECT_EQ(policy_error("while true do end"), "p.lua: runs too long");
    EXPECT_EQ(policy_error("error('no')"),
              R"(p.lua: [string "p.lua"]:1: attempt to call a nil value (global 'error'))");
    EXPECT_EQ(policy_error("os.exit(1)"),
              R"(p.lua: [string "p.lua"]:1: attempt to index a nil value (global 'os'))");
    EXPECT_EQ(policy_error(std::string(300 * 1024, ' ')), "p.lua: script is over 256 KiB");
}

TEST(BadInput, ErrorsCarryACodeAndTheKey) {
    const auto submission_error = [](const char* text) { return wire::parse_job(text).error(); };
    using SubmissionCode = wire::SubmissionError::Code;
    EXPECT_EQ(submission_error("{").code, SubmissionCode::not_json);
    EXPECT_EQ(submission_error("[]").code, SubmissionCode::not_an_object);
    EXPECT_EQ(submission_error("{}").code, SubmissionCode::missing_field);
    EXPECT_EQ(submission_error("{}").field, "uid");
    EXPECT_EQ(submission_error(R"({"uid":"x"})").code, SubmissionCode::invalid_field);
    EXPECT_EQ(submission_error(R"({"uid":"x"})").field, "uid");

    const auto settings_failure = [](const std::string& settings) {
        try {
            parse_settings(settings);
        } catch (const SettingsError& error) {
            return error;
        }
        return SettingsError(SettingsError::Code::unreadable_file, "none", "none");
    };
    EXPECT_EQ(settings_failure("node = ").code(), SettingsError::Code::not_toml);
    EXPECT_EQ(settings_failure("node = ").key(), "");
    const SettingsError missing = settings_failure(settings_with("lease_s = 10.0", ""));
    EXPECT_EQ(missing.code(), SettingsError::Code::missing_key);
    EXPECT_EQ(missing.key(), "params.workers.lease_s");
    const SettingsError invalid = settings_failure(settings_with("cpus_max = 2.0", "cpus_max = -1"));
    EXPECT_EQ(invalid.code(), SettingsError::Code::invalid_value);
    EXPECT_EQ(invalid.key(), "params.teams[0].cpus_max");

    const auto policy_failure = [](const std::string& script) {
        try {
            parse_policy(script);
        } catch (const PolicyError& error) {
            return error;
        }
        return PolicyError(PolicyError::Code::unreadable_file, "none", "none");
    };
    EXPECT_EQ(policy_failure("return 3").code(), PolicyError::Code::not_a_table);
    EXPECT_EQ(policy_failure("return {").code(), PolicyError::Code::script_failed);
    EXPECT_EQ(policy_failure("return { no_such = 1 }").code(), PolicyError::Code::unknown_setting);
    EXPECT_EQ(policy_failure("return { no_such = 1 }").setting(), "no_such");
    EXPECT_EQ(policy_failure("return { patience = -1 }").code(), PolicyError::Code::invalid_value);
    EXPECT_EQ(policy_failure("return { patience = -1 }").setting(), "patience");
}

struct ProgramResult {
    int exit_code = -1;
    std::string output;
};
/// Runs the program, its errors into the output.
ProgramResult run_program(const std::string& arguments) {
    ProgramResult result;
    FILE* pipe = ::popen((std::string(ZINCDYKE_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
    if (pipe == nullptr) return result;
    char buffer[512];
    while (std::fgets(buffer, sizeof buffer, pipe) != nullptr) result.output += buffer;
    const int status = ::pclose(pipe);
    result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

/// A file in the tests' temporary directory that lives as long as this object.
class TemporaryFile {
  public:
    explicit TemporaryFile(const std::string& content) : path_(::testing::TempDir() + "zincdyke-XXXXXX") {
        const int descriptor = ::mkstemp(path_.data());
        EXPECT_GE(descriptor, 0);
        ::close(descriptor);
        std::ofstream(path_) << content;
    }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    ~TemporaryFile() { std::remove(path_.c_str()); }
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

TEST(BadInput, TheProgramEndsWithStatusTwoAndOneLine) {
    const TemporaryFile valid(valid_settings);
    const TemporaryFile wrong(settings_with("lease_s = 10.0", "lease_s = 0"));
    const TemporaryFile policy("return { idle_keep_s = -1 }");
    const ProgramResult accepted = run_program("--check --config " + valid.path());
    EXPECT_EQ(accepted.exit_code, 0);
    EXPECT_EQ(accepted.output, "settings are valid\n");
    const ProgramResult wrong_setting = run_program("--config " + wrong.path());
    EXPECT_EQ(wrong_setting.exit_code, 2);
    EXPECT_EQ(wrong_setting.output,
              "zincdyke: setting 'params.workers.lease_s': must be a number from 1 to 36000\n");
    const ProgramResult no_file = run_program("--config /nonexistent/x.toml");
    EXPECT_EQ(no_file.exit_code, 2);
    EXPECT_EQ(no_file.output, "zincdyke: cannot read settings file '/nonexistent/x.toml'\n");
    const ProgramResult wrong_policy = run_program("--config " + valid.path() + " --policy " + policy.path());
    EXPECT_EQ(wrong_policy.exit_code, 2);
    EXPECT_EQ(wrong_policy.output,
              "zincdyke: " + policy.path() + ": setting 'idle_keep_s' must be a number from 0 to 86400\n");
    const ProgramResult no_policy = run_program("--config " + valid.path() + " --policy /nonexistent/p.lua");
    EXPECT_EQ(no_policy.exit_code, 2);
    EXPECT_EQ(no_policy.output, "zincdyke: cannot read policy file '/nonexistent/p.lua'\n");
    const ProgramResult no_config = run_program("--check");
    EXPECT_EQ(no_config.exit_code, 2);
    EXPECT_EQ(no_config.output, "--config is required\nRun with --help for more information.\n");
}

}  // namespace
}  // namespace zincdyke::testing
