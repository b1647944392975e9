/// Small types for ids, versions, amounts and times.
#pragma once
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace zincdyke {

/// A string that cannot be mistaken for another kind of name.
template <class Tag>
class Name {
  public:
    Name() = default;
    explicit Name(std::string value) : value_(std::move(value)) {}
    auto operator<=>(const Name&) const = default;
    [[nodiscard]] const std::string& value() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

  private:
    std::string value_;
};
using JobId = Name<struct JobTag>;
using MachineId = Name<struct MachineTag>;
using NodeName = Name<struct NodeTag>;
using TeamName = Name<struct TeamTag>;

/// A revision of the key-value store: a key's version, a leader's term, or a point in the store's history.
class Revision {
  public:
    constexpr Revision() = default;
    constexpr explicit Revision(std::uint64_t value) : value_(value) {}
    auto operator<=>(const Revision&) const = default;
    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }

  private:
    std::uint64_t value_ = 0;
};
/// The revision at which a leader acquired its shard: the upper part of the fencing token that entitles it to
/// command the shard's workers.
using Term = Revision;

using Attempt = std::uint32_t;
using TaskIndex = std::uint32_t;

struct TaskRef {
    JobId job;
    TaskIndex task = 0;
    auto operator<=>(const TaskRef&) const = default;
    std::string str() const { return job.value() + "/" + std::to_string(task); }
};

using Duration = std::chrono::microseconds;
struct SteadyTag {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = Duration;
};
/// A moment of this node's steady clock.
using SteadyTime = std::chrono::time_point<SteadyTag, Duration>;
/// The time of day, in milliseconds since 1970 (UTC).
class WallTime {
  public:
    constexpr WallTime() = default;
    constexpr explicit WallTime(std::int64_t milliseconds) : value_(milliseconds) {}
    auto operator<=>(const WallTime&) const = default;
    [[nodiscard]] constexpr std::int64_t value() const { return value_; }

  private:
    std::int64_t value_ = 0;
};

inline Duration seconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }
inline Duration millis(std::int64_t ms) { return Duration(ms * 1000); }
inline double to_seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }

/// What a task takes, or a machine has: thousandths of a CPU, of a GPU and of a GB.
struct Resources {
    std::int64_t cpu = 0, gpu = 0, ram = 0;
    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources& o) {
        cpu += o.cpu;
        gpu += o.gpu;
        ram += o.ram;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpu -= o.cpu;
        gpu -= o.gpu;
        ram -= o.ram;
        return *this;
    }
    bool covers(const Resources& need) const { return need.cpu <= cpu && need.gpu <= gpu && need.ram <= ram; }
};

}  // namespace zincdyke

template <class Tag>
struct std::hash<zincdyke::Name<Tag>> {
    std::size_t operator()(const zincdyke::Name<Tag>& n) const noexcept {
        return std::hash<std::string>()(n.value());
    }
};
