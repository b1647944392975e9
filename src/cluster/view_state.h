/// State machine that tracks whether the state cache is current.
#pragma once
#include <cstdint>

namespace zincdyke {

/// Tracks whether the contents of the state cache are current, on behalf of StateWatcher.
///
/// After a network partition or a stall of the process, no decision may be based on the state cache until the
/// key-value store has been read again. For example, a stale autoscaler leader could terminate machines that
/// other controllers use.
class ViewState {
  public:
    enum class State : std::uint8_t {
        loading,      // the first list is being read, and the state cache is not usable yet
        current,      // the watch has delivered all changes since the last complete read
        stale,        // the store was unreachable, the process stalled or the session was lost
        catching_up,  // stale, with a watch in flight that the store answers immediately
        reloading     // the watch cannot be continued, and the list is being read again
    };

    [[nodiscard]] State state() const { return state_; }
    /// Returns whether the key-value store has been read completely at least once.
    [[nodiscard]] bool is_loaded() const { return state_ != State::loading; }
    [[nodiscard]] bool is_list_in_progress() const {
        return state_ == State::loading || state_ == State::reloading;
    }
    [[nodiscard]] bool is_current() const { return state_ == State::current; }

    /// To be called when a list has been read completely.
    void on_loaded() { state_ = State::current; }
    /// To be called when the watch cannot be continued and the list is read again.
    void on_reload() {
        if (state_ != State::loading) state_ = State::reloading;
    }
    /// To be called when the state cache may have missed changes. Has no effect while a list is being read,
    /// because the list will contain them.
    void on_invalidated() {
        if (!is_list_in_progress()) state_ = State::stale;
    }
    /// Returns whether a watch must be sent to refresh a stale state cache, and if so records that one is in
    /// flight.
    [[nodiscard]] bool begin_catch_up() {
        if (state_ != State::stale) return false;
        state_ = State::catching_up;
        return true;
    }
    /// To be called when a watch has completed or failed. Returns true if the watch was sent to refresh a
    /// stale state cache; if it succeeded, `on_caught_up` must be called after its response has been applied.
    [[nodiscard]] bool end_catch_up() {
        if (state_ != State::catching_up) return false;
        state_ = State::stale;
        return true;
    }
    /// To be called when the response to a watch that refreshes a stale state cache has been applied.
    void on_caught_up() {
        if (state_ == State::stale) state_ = State::current;
    }

  private:
    State state_ = State::loading;
};

}  // namespace zincdyke
