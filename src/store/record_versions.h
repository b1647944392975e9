/// The version of each record, as last read.
#pragma once
#include <string>
#include <unordered_map>

#include "base/types.h"
#include "store/store_requests.h"

namespace zincdyke {

/// Which version of each key this node has read: what a commit names as its preconditions.
///
/// Versions of deleted keys are remembered too, so that older news of a key doesn't bring it back.
class RecordVersions {
  public:
    /// Takes over an update's version. False if it is no newer than what is known: the update is to be
    /// ignored. The watch trails behind this node's own commits, and lists may be older than either.
    [[nodiscard]] bool update_if_newer(const KeyUpdate& update);
    /// 0 for a key that does not exist, as far as read.
    [[nodiscard]] Revision version(const std::string& key) const;
    [[nodiscard]] bool exists(const std::string& key) const { return version(key) != Revision{}; }
    /// Lets a record be taken over again when it comes again, though no newer.
    void forget(const std::string& key) { versions_.erase(key); }
    /// Drops versions of deleted keys below `applied`, once there are many: they guard against older news,
    /// which can't come any more after the watch is past them.
    void drop_deleted(Revision applied);
    void clear() { versions_.clear(); }

  private:
    struct Known {
        Revision version;
        bool exists = false;
    };
    std::unordered_map<std::string, Known> versions_;
};

}  // namespace zincdyke
