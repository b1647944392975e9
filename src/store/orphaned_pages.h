/// The set of page records that have no job.
#pragma once
#include <set>
#include <string>

namespace zincdyke {

/// Keys of page records whose job has ended or has not been read yet. Once the whole state has been read,
/// these records may be deleted.
class OrphanedPages {
  public:
    void add(const std::string& key) { keys_.insert(key); }
    void remove(const std::string& key) { keys_.erase(key); }
    /// Removes all keys for which `predicate` returns true.
    template <class Predicate>
    void remove_if(Predicate predicate) {
        std::erase_if(keys_, predicate);
    }
    [[nodiscard]] const std::set<std::string>& keys() const { return keys_; }

  private:
    std::set<std::string> keys_;
};

}  // namespace zincdyke
