#include "credit.h"

#include <algorithm>
#include <set>

namespace chivelanding {

void CreditDivider::onDemand(const EntryId &Entry, const Demand &D) {
  const auto It = Entries_.find(Entry);
  if (It == Entries_.end())
    return;
  It->second.Demand_.clear();
  for (const ClassDemand &C : D.Classes_)
    if (C.Waiting_ > 0)
      It->second.Demand_[C.Class_] = C.Waiting_;
}

void CreditDivider::setUnreachable(const EntryId &Entry, bool IsUnreachable) {
  const auto It = Entries_.find(Entry);
  if (It != Entries_.end())
    It->second.IsUnreachable_ = IsUnreachable;
}

// Starts reduce the demand that they were part of, so that it does not attract
// credit twice before the entry reports its demand again.
void CreditDivider::onStarts(const EntryId &Entry, PriorityClass Class,
                             std::uint32_t Count) {
  const auto It = Entries_.find(Entry);
  if (It == Entries_.end())
    return;
  Share &S = It->second;
  S.UnusedGrant_ -= std::min(S.UnusedGrant_, Count);
  const auto Waiting = S.Demand_.find(Class);
  if (Waiting == S.Demand_.end())
    return;
  if (Waiting->second <= Count)
    S.Demand_.erase(Waiting);
  else
    Waiting->second -= Count;
}

std::uint32_t CreditDivider::demandOf(const Share &S) {
  if (S.IsUnreachable_)
    return 0;
  std::uint32_t Sum = 0;
  for (const auto &[Class, Waiting] : S.Demand_)
    Sum += Waiting;
  return Sum;
}

// Unused credit is subtracted from the most urgent demand first, because the
// entry uses it for that.
std::uint32_t CreditDivider::unmet(const Share &S, PriorityClass Class) {
  if (S.IsUnreachable_)
    return 0;
  std::uint32_t Unused = S.UnusedGrant_;
  for (const auto &[C, Waiting] : S.Demand_) {
    if (C == Class)
      return Waiting - std::min(Waiting, Unused);
    Unused -= std::min(Unused, Waiting);
  }
  return 0;
}

// Takes back unused credit that exceeds the entry's demand or the capacity, and
// returns the capacity that is left. Starts that were already sent on that
// credit are queued at the agent or rejected.
std::uint32_t CreditDivider::reclaim(std::uint32_t Capacity) {
  std::uint32_t Sum = 0;
  for (auto &[Id, S] : Entries_) {
    S.UnusedGrant_ = std::min(S.UnusedGrant_, demandOf(S));
    Sum += S.UnusedGrant_;
  }
  while (Sum > Capacity) {
    const auto Largest = std::max_element(
        Entries_.begin(), Entries_.end(), [](const auto &A, const auto &B) {
          return A.second.UnusedGrant_ < B.second.UnusedGrant_;
        });
    --Largest->second.UnusedGrant_;
    --Sum;
  }
  return Capacity - Sum;
}

// Grants one start to the most urgent class with unmet demand. Within the
// class, the deficit of each entry grows by its part of the unmet demand, and
// the entry with the largest deficit receives the start, so that a small demand
// is served in its turn.
bool CreditDivider::grantOne() {
  std::set<PriorityClass> Classes;
  for (const auto &[Id, S] : Entries_)
    for (const auto &[Class, Waiting] : S.Demand_)
      Classes.insert(Class);
  for (const PriorityClass Class : Classes) {
    double Total = 0;
    for (const auto &[Id, S] : Entries_)
      Total += unmet(S, Class);
    Share *Best = nullptr;
    for (auto &[Id, S] : Entries_) {
      const std::uint32_t Unmet = unmet(S, Class);
      if (Unmet == 0)
        continue;
      S.Deficit_ += Unmet / Total;
      if (!Best || S.Deficit_ > Best->Deficit_)
        Best = &S;
    }
    if (!Best)
      continue;
    Best->Deficit_ = std::max(Best->Deficit_ - 1, -1.0);
    ++Best->UnusedGrant_;
    return true;
  }
  return false;
}

void CreditDivider::divide(std::uint32_t Capacity) {
  std::uint32_t Left = reclaim(Capacity);
  while (Left > 0 && grantOne())
    --Left;
  for (auto &[Id, S] : Entries_) {
    if (S.Demand_.empty())
      S.Deficit_ = 0;
    S.Credit_ = S.IsUnreachable_ ? 0 : S.UnusedGrant_ + Left;
  }
}

bool CreditDivider::hasDemand(const EntryId &Entry) const {
  const auto It = Entries_.find(Entry);
  return It != Entries_.end() && !It->second.Demand_.empty();
}

std::uint32_t CreditDivider::credit(const EntryId &Entry) const {
  const auto It = Entries_.find(Entry);
  return It == Entries_.end() ? 0 : It->second.Credit_;
}

} // namespace chivelanding
