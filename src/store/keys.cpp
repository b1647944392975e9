#include "store/keys.h"

namespace zd {
namespace {
constexpr std::size_t page_prefix_size = 4;  // "z/t/" and "z/r/"
}

namespace keys {
std::string job(const JobId& id) { return "z/j/" + id.v; }
std::string page(const JobId& id, std::uint32_t n) { return "z/t/" + id.v + "/" + std::to_string(n); }
std::string small_page(const JobId& id, std::uint32_t n) { return "z/r/" + id.v + "/" + std::to_string(n); }
std::string final_state(const JobId& id) { return "f/" + id.v; }
std::string node(const NodeName& n) { return "z/n/" + n.v; }
std::string part(std::uint32_t k) { return "z/p/" + std::to_string(k); }
std::string team(const TeamName& t) { return "z/q/" + t.v; }
std::string known_format(const NodeName& n) { return "z/v/" + n.v; }
JobId job_of_page(const std::string& key) {
    if (key.rfind("z/t/", 0) != 0 && key.rfind("z/r/", 0) != 0) return {};
    const auto slash = key.rfind('/');
    return JobId(slash > page_prefix_size ? key.substr(page_prefix_size, slash - page_prefix_size) : "");
}
}  // namespace keys

}  // namespace zd
