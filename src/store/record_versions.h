/// Versions of the key-value store's records, as last read by this node.
#pragma once
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"
#include "store/store_requests.h"

namespace zincdyke {

/// The latest version of each record that this node has read; commits use these versions as preconditions.
///
/// Versions of deleted keys are kept as well, so that an update older than the deletion is not applied.
class RecordVersions {
  public:
    /// Stores the version of a record update and returns true. If the stored version is the same or newer,
    /// keeps it and returns false: the caller must ignore the update. Updates may arrive late, because the
    /// watch lags behind this node's own commits and a list may lag behind both.
    [[nodiscard]] bool update_if_newer(const KeyUpdate& update);
    /// Returns the version of an existing record; 0 if the record was deleted or never read.
    [[nodiscard]] Revision version(const std::string& key) const;
    /// Returns whether the version of a record or of its deletion is stored.
    [[nodiscard]] bool contains(const std::string& key) const { return versions_.contains(key); }
    [[nodiscard]] bool exists(const std::string& key) const { return version(key) != Revision{}; }
    /// Removes a key's version, so that the next update of the key is accepted even if it is not newer.
    void forget(const std::string& key) { versions_.erase(key); }
    /// Removes the versions of keys deleted before the revision `applied_revision` if many versions are
    /// stored. They are not needed, because StateCache ignores updates of unknown keys up to the revision up
    /// to which it has applied all changes.
    void drop_deleted(Revision applied_revision);
    /// Returns the keys of the existing records whose versions are older than `revision`.
    [[nodiscard]] std::vector<std::string> keys_written_before(Revision revision) const;

  private:
    struct Entry {
        Revision version;
        bool exists = false;  // false if the record was deleted at `version`
    };
    std::unordered_map<std::string, Entry> versions_;
};

}  // namespace zincdyke
