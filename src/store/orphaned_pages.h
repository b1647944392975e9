/// Pages whose job is over, or not read yet.
#pragma once
#include <set>
#include <string>

namespace zincdyke {

/// Keys of written pages without a job; once the whole state has been read they may be deleted.
class OrphanedPages {
  public:
    void add(const std::string& key) { keys_.insert(key); }
    /// The page is gone, or has its job.
    void remove(const std::string& key) { keys_.erase(key); }
    void clear() { keys_.clear(); }
    [[nodiscard]] const std::set<std::string>& keys() const { return keys_; }

  private:
    std::set<std::string> keys_;
};

}  // namespace zincdyke
