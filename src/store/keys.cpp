#include "store/keys.h"

namespace zincdyke {
namespace {
constexpr std::size_t page_prefix_size = 4;  // "z/t/" and "z/r/"
}

namespace keys {
std::string job(const JobId& id) { return "z/j/" + id.value(); }
std::string page(const JobId& id, std::uint32_t n) { return "z/t/" + id.value() + "/" + std::to_string(n); }
std::string small_page(const JobId& id, std::uint32_t n) {
    return "z/r/" + id.value() + "/" + std::to_string(n);
}
std::string final_state(const JobId& id) { return "f/" + id.value(); }
std::string node(const NodeName& n) { return "z/n/" + n.value(); }
std::string shard(std::uint32_t k) { return "z/p/" + std::to_string(k); }
std::string team_lock(const TeamName& t) { return "z/q/" + t.value(); }
std::string known_format(const NodeName& n) { return "z/v/" + n.value(); }
JobId job_of_page(const std::string& key) {
    if (key.rfind("z/t/", 0) != 0 && key.rfind("z/r/", 0) != 0) return {};
    const auto slash = key.rfind('/');
    return JobId(slash > page_prefix_size ? key.substr(page_prefix_size, slash - page_prefix_size) : "");
}
}  // namespace keys

}  // namespace zincdyke
