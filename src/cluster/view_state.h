/// Whether the state cache may be relied on.
#pragma once
#include <cstdint>

namespace zincdyke {

/// The state machine of StateWatcher: what the state cache is worth. All transitions are here.
///
/// A view from before a cut is not acted on until the store has been read again: back from one, a leader of
/// the autoscaler took machines that others had long taken over for silent ones.
class ViewState {
  public:
    enum class State : std::uint8_t {
        loading,      // the first list is being read: nothing is known yet
        current,      // the watch has been complete since the last read
        stale,        // cut off, stalled or without a session since the last complete read
        catching_up,  // stale, and a watch that will be answered at once is under way
        reloading     // the watch can't go on from what is known: the list is being read again
    };

    [[nodiscard]] State state() const { return state_; }
    /// Read in full at least once.
    [[nodiscard]] bool is_loaded() const { return state_ != State::loading; }
    [[nodiscard]] bool is_list_under_way() const {
        return state_ == State::loading || state_ == State::reloading;
    }
    [[nodiscard]] bool is_current() const { return state_ == State::current; }

    /// A list was read in full.
    void on_loaded() { state_ = State::current; }
    /// The watch can't go on; the list is read again.
    void on_reload() {
        if (state_ != State::loading) state_ = State::reloading;
    }
    /// What is known may be out of date by now. A list under way will make up for it.
    void on_invalidated() {
        if (!is_list_under_way()) state_ = State::stale;
    }
    /// Whether a watch must be sent to catch up: a stale view for which none is under way.
    [[nodiscard]] bool begin_catch_up() {
        if (state_ != State::stale) return false;
        state_ = State::catching_up;
        return true;
    }
    /// The watch was answered, or failed. True: it was one to catch up, and its answer, once it has been
    /// applied, makes the view current.
    [[nodiscard]] bool end_catch_up() {
        if (state_ != State::catching_up) return false;
        state_ = State::stale;
        return true;
    }
    /// The answer to the watch that was to catch up has been applied.
    void on_caught_up() {
        if (state_ == State::stale) state_ = State::current;
    }

  private:
    State state_ = State::loading;
};

}  // namespace zincdyke
