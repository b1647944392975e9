// Small types for ids, versions, amounts and times.
#pragma once
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace zd {

// A string that cannot be mistaken for another kind of name.
template <class Tag>
struct Name {
    std::string v;
    Name() = default;
    explicit Name(std::string s) : v(std::move(s)) {}
    auto operator<=>(const Name&) const = default;
    bool empty() const { return v.empty(); }
};
using JobId = Name<struct JobTag>;
using MachineId = Name<struct MachineTag>;
using NodeName = Name<struct NodeTag>;
using TeamName = Name<struct TeamTag>;

// A revision of the state service: a key's version, a term, or a point in its history.
struct Revision {
    std::uint64_t v = 0;
    auto operator<=>(const Revision&) const = default;
};
// The token that entitles its holder to command a part's workers; the revision at which it took the part.
using Term = Revision;

using Attempt = std::uint32_t;
using TaskIndex = std::uint32_t;

struct TaskRef {
    JobId job;
    TaskIndex task = 0;
    auto operator<=>(const TaskRef&) const = default;
    std::string str() const { return job.v + "/" + std::to_string(task); }
};

using Duration = std::chrono::microseconds;
struct SteadyTag {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = Duration;
};
using Mono = std::chrono::time_point<SteadyTag, Duration>;  // this node's steady clock
struct WallMs {                                             // time of day, milliseconds
    std::int64_t v = 0;
    auto operator<=>(const WallMs&) const = default;
};

inline Duration seconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }
inline Duration millis(std::int64_t ms) { return Duration(ms * 1000); }
inline double to_s(Duration d) { return static_cast<double>(d.count()) / 1e6; }

// What a task takes, or a machine has: thousandths of a CPU, of a GPU and of a GB.
struct Room {
    std::int64_t cpu = 0, gpu = 0, ram = 0;
    bool operator==(const Room&) const = default;
    Room& operator+=(const Room& o) {
        cpu += o.cpu;
        gpu += o.gpu;
        ram += o.ram;
        return *this;
    }
    Room& operator-=(const Room& o) {
        cpu -= o.cpu;
        gpu -= o.gpu;
        ram -= o.ram;
        return *this;
    }
    bool fits(const Room& need) const { return need.cpu <= cpu && need.gpu <= gpu && need.ram <= ram; }
};

}  // namespace zd

template <class Tag>
struct std::hash<zd::Name<Tag>> {
    std::size_t operator()(const zd::Name<Tag>& n) const noexcept { return std::hash<std::string>()(n.v); }
};
