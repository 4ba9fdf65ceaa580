#include "waiting_callers.h"

#include <algorithm>

namespace chivelanding {

void WaitingCallers::add(JobNumber Job, WaitingCaller Caller) {
  ByJob_[Job].push_back(std::move(Caller));
  ++Size_;
}

bool WaitingCallers::remove(JobNumber Job, const HttpReply *Reply) {
  const auto It = ByJob_.find(Job);
  if (It == ByJob_.end())
    return false;
  auto &Callers = It->second;
  const auto Found =
      std::find_if(Callers.begin(), Callers.end(), [&](const WaitingCaller &C) {
        return C.Reply_.get() == Reply;
      });
  if (Found == Callers.end())
    return false;
  Callers.erase(Found);
  --Size_;
  if (!Callers.empty())
    return false;
  ByJob_.erase(It);
  return true;
}

std::vector<WaitingCaller> WaitingCallers::take(JobNumber Job) {
  const auto It = ByJob_.find(Job);
  if (It == ByJob_.end())
    return {};
  auto Callers = std::move(It->second);
  ByJob_.erase(It);
  Size_ -= Callers.size();
  return Callers;
}

// Answers a crowd that submits one job again and again and keeps all of its
// connections. The sender of the latest submission is the one that still waits.
std::vector<WaitingCaller> WaitingCallers::takeRepeated(JobNumber &Job) {
  const auto Most = std::max_element(ByJob_.begin(), ByJob_.end(),
                                     [](const auto &A, const auto &B) {
                                       return A.second.size() < B.second.size();
                                     });
  if (Most == ByJob_.end() || Most->second.size() < 2)
    return {};
  Job = Most->first;
  std::vector<WaitingCaller> Oldest{std::move(Most->second.front())};
  Most->second.erase(Most->second.begin());
  --Size_;
  return Oldest;
}

const std::vector<WaitingCaller> &WaitingCallers::of(JobNumber Job) const {
  static const std::vector<WaitingCaller> None;
  const auto It = ByJob_.find(Job);
  return It == ByJob_.end() ? None : It->second;
}

std::vector<JobNumber> WaitingCallers::jobs() const {
  std::vector<JobNumber> Jobs;
  for (const auto &[Job, Callers] : ByJob_)
    Jobs.push_back(Job);
  return Jobs;
}

} // namespace chivelanding
