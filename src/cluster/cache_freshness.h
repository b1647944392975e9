/// State machine that tracks whether the state cache is up to date with the key-value store.
#pragma once
#include <cstdint>

namespace zincdyke {

/// Tracks for StateWatcher whether the state cache contains the latest changes of the key-value store.
///
/// After a network partition or a stall of the process, no decision may be based on the state cache until the
/// key-value store has been read again. For example, a stale autoscaler leader could terminate machines that
/// other controllers use.
class CacheFreshness {
  public:
    enum class State : std::uint8_t {
        loading,      // all records are being listed for the first time; the state cache is unusable
        current,      // the state cache follows the key-value store through the watch
        stale,        // the state cache may have missed changes, and no watch refreshes it yet
        catching_up,  // the state cache is stale, and a watch to refresh the cache is in flight
        reloading     // all records are being listed again, because the watch cannot be continued
    };

    [[nodiscard]] State state() const { return state_; }
    /// Returns whether the key-value store has been read completely at least once.
    [[nodiscard]] bool is_loaded() const { return state_ != State::loading; }
    /// Returns whether all records of the key-value store are being listed, for the first time or again.
    [[nodiscard]] bool is_list_in_progress() const {
        return state_ == State::loading || state_ == State::reloading;
    }
    /// Returns whether the state cache is up to date, so that decisions may be based on it.
    [[nodiscard]] bool is_current() const { return state_ == State::current; }

    /// Marks the state cache as stale. To be called when all records have been listed and applied to it: the
    /// list may have been read long before its response arrived, and its pages reflect different revisions.
    void on_loaded() { state_ = State::stale; }
    /// Marks the state cache as being reloaded. To be called when the watch cannot be continued and all
    /// records are listed again.
    void on_reload() {
        if (state_ != State::loading) state_ = State::reloading;
    }
    /// Marks the state cache as stale. To be called when the cache may have missed changes. Has no effect
    /// while all records are being listed, because the cache is stale when the list has been applied.
    void on_invalidated() {
        if (!is_list_in_progress()) state_ = State::stale;
    }
    /// Returns whether a watch must be sent to refresh a stale state cache, and if so records that this watch
    /// is in flight.
    [[nodiscard]] bool begin_catch_up() {
        if (state_ != State::stale) return false;
        state_ = State::catching_up;
        return true;
    }
    /// Ends a refresh of the state cache by a watch; returns whether such a refresh was in flight. To be
    /// called when a watch has completed or failed. The cache remains stale until `on_caught_up` is called.
    [[nodiscard]] bool end_catch_up() {
        if (state_ != State::catching_up) return false;
        state_ = State::stale;
        return true;
    }
    /// Marks a stale state cache as current. To be called when the response to the watch that refreshes it
    /// has been applied.
    void on_caught_up() {
        if (state_ == State::stale) state_ = State::current;
    }

  private:
    State state_ = State::loading;
};

}  // namespace zincdyke
