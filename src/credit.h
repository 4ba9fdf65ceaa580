#ifndef CHIVELANDING_CREDIT_H
#define CHIVELANDING_CREDIT_H

#include "message.h"
#include "types.h"

#include <cstdint>
#include <map>

namespace chivelanding {

/// Divides the free capacity of one endpoint among the connected entries. While
/// no tasks wait, every entry may use the whole capacity; while tasks wait, it
/// is divided by demand, the most urgent class first.
class CreditDivider {
public:
  void addEntry(const EntryId &Entry) { Entries_[Entry]; }
  void removeEntry(const EntryId &Entry) { Entries_.erase(Entry); }

  /// An unreachable entry gets no credit, and its demand is ignored until it is
  /// reachable again.
  void setUnreachable(const EntryId &Entry, bool IsUnreachable);

  /// Sets the tasks that wait at an entry; replaces its earlier report.
  void onDemand(const EntryId &Entry, const Demand &D);
  /// An entry has sent start requests for Count tasks of a class.
  void onStarts(const EntryId &Entry, PriorityClass Class, std::uint32_t Count);

  /// Divides Capacity starts. Credit that was granted before and is not used
  /// yet stays with its entry as long as the entry has demand for it and the
  /// capacity suffices.
  void divide(std::uint32_t Capacity);
  /// Number of starts that the entry may request.
  std::uint32_t credit(const EntryId &Entry) const;
  /// True if tasks that the entry has reported as waiting have not been started
  /// yet.
  bool hasDemand(const EntryId &Entry) const;

private:
  struct Share {
    std::map<PriorityClass, std::uint32_t> Demand_;
    /// Credit that was granted for demand and is not used yet.
    std::uint32_t UnusedGrant_ = 0;
    std::uint32_t Credit_ = 0;
    bool IsUnreachable_ = false;
    /// Fraction of a start that the entry is owed, from -1 to 1; negative if it
    /// has received more than its part.
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
