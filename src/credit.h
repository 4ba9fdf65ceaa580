#ifndef CHIVELANDING_CREDIT_H
#define CHIVELANDING_CREDIT_H

#include "message.h"
#include "types.h"

#include <cstdint>
#include <map>

namespace chivelanding {

/// Divides the room of one endpoint among the connected entries. While no work
/// waits, every entry may use the whole room; when work waits, the room is
/// divided by demand, the more urgent class first.
class CreditDivider {
public:
  void addEntry(const EntryId &Entry) { Entries_[Entry]; }
  void removeEntry(const EntryId &Entry) { Entries_.erase(Entry); }

  /// A silent entry gets no credit, and its demand does not count until it is
  /// heard again.
  void setUnreachable(const EntryId &Entry, bool IsUnreachable);

  /// Tasks that wait at an entry; replaces its earlier statement.
  void onDemand(const EntryId &Entry, const Demand &D);
  /// Count starts of a class have arrived from an entry.
  void onStarts(const EntryId &Entry, PriorityClass Class, std::uint32_t Count);

  /// Divides Room starts. Credit that was granted before and is not used yet
  /// stays with its entry as long as the entry has demand for it.
  void divide(std::uint32_t Capacity);
  /// Starts that the entry may send.
  std::uint32_t credit(const EntryId &Entry) const;
  /// True if work of the entry that it has stated is still waiting.
  bool hasDemand(const EntryId &Entry) const;

private:
  struct Share {
    std::map<PriorityClass, std::uint32_t> Demand_;
    /// Granted against demand and not used yet.
    std::uint32_t UnusedGrant_ = 0;
    std::uint32_t Credit_ = 0;
    bool IsUnreachable_ = false;
    /// What the entry is owed of a part of a start, from -1 to 1.
    double Deficit_ = 0;
  };

  static std::uint32_t demandOf(const Share &S);
  static std::uint32_t unmet(const Share &S, PriorityClass Class);
  std::uint32_t reclaim(std::uint32_t Capacity);
  bool grantOne();

  std::map<EntryId, Share> Entries_;
};

} // namespace chivelanding

#endif
