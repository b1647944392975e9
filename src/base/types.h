/// Basic types for names, revisions, resource amounts and times.
#pragma once
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace zincdyke {

/// A name or id, such as a job id. Each tag type makes a distinct type, so that the compiler rejects, for
/// example, a machine id where a job id is required.
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

/// A revision number of the key-value store, which increases with every commit. It also serves as the version
/// of a key and as a leader's term.
class Revision {
  public:
    constexpr Revision() = default;
    constexpr explicit Revision(std::uint64_t value) : value_(value) {}
    auto operator<=>(const Revision&) const = default;
    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }

  private:
    std::uint64_t value_ = 0;
};
/// The store revision at which a leader acquired its shard. It is the upper part of the fencing token that
/// the leader sends with its commands to workers.
using Term = Revision;

/// Number of an attempt to run a task; each restart of the task gets a higher one.
using Attempt = std::uint32_t;
/// Index of a task within its job.
using TaskIndex = std::uint32_t;

/// Identifies a task by its job and its index in that job.
struct TaskRef {
    JobId job;
    TaskIndex task = 0;
    auto operator<=>(const TaskRef&) const = default;
    /// Returns "JOB/INDEX", the name of the task in the workers' protocol.
    std::string str() const { return job.value() + "/" + std::to_string(task); }
};

using Duration = std::chrono::microseconds;
/// Clock type of SteadyTime, with the members that std::chrono requires.
struct SteadyTag {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = Duration;
};
/// A time point of this node's monotonic clock.
using SteadyTime = std::chrono::time_point<SteadyTag, Duration>;
/// A time of day, in milliseconds since the Unix epoch.
class WallTime {
  public:
    constexpr WallTime() = default;
    constexpr explicit WallTime(std::int64_t milliseconds) : value_(milliseconds) {}
    auto operator<=>(const WallTime&) const = default;
    [[nodiscard]] constexpr std::int64_t value() const { return value_; }

  private:
    std::int64_t value_ = 0;
};

inline Duration seconds(double count) { return Duration(static_cast<std::int64_t>(count * 1e6)); }
inline Duration millis(std::int64_t count) { return Duration(count * 1000); }
inline double to_seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

/// Resources that a task requires or a machine has, in thousandths of a CPU, of a GPU and of a GB of memory.
struct Resources {
    std::int64_t cpu = 0, gpu = 0, ram = 0;
    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources& other) {
        cpu += other.cpu;
        gpu += other.gpu;
        ram += other.ram;
        return *this;
    }
    Resources& operator-=(const Resources& other) {
        cpu -= other.cpu;
        gpu -= other.gpu;
        ram -= other.ram;
        return *this;
    }
    /// Returns whether these resources are sufficient for `required`.
    bool covers(const Resources& required) const {
        return required.cpu <= cpu && required.gpu <= gpu && required.ram <= ram;
    }
};

}  // namespace zincdyke

template <class Tag>
struct std::hash<zincdyke::Name<Tag>> {
    std::size_t operator()(const zincdyke::Name<Tag>& name) const noexcept {
        return std::hash<std::string>()(name.value());
    }
};
