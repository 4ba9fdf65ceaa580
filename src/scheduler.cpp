#include "scheduler.h"

#include <algorithm>

namespace chivelanding {

Scheduler::Scheduler(PolicyConfig Config, std::uint64_t Seed, ZoneName Zone)
    : Config_(std::move(Config)), Zone_(std::move(Zone)), Random_(Seed) {}

void Scheduler::setConfig(PolicyConfig Config, Time) {
  Config_ = std::move(Config);
}

void Scheduler::addAgent(const AgentId &Agent, const EndpointInfo &Info, Time) {
  Agents_[Agent].Info_ = Info;
}

void Scheduler::removeAgent(const AgentId &Agent, Time) {
  Agents_.erase(Agent);
}

void Scheduler::onReport(const AgentId &Agent, const AgentReport &Report,
                         Time) {
  const auto It = Agents_.find(Agent);
  if (It != Agents_.end())
    It->second.Report_ = Report;
}

void Scheduler::enqueue(WaitingTask Task, Time) {
  Queue_.push_back(std::move(Task));
}

std::vector<TaskIndex> Scheduler::cancel(const JobId &Job, Time) {
  std::vector<TaskIndex> Removed;
  const auto IsOfJob = [&](const WaitingTask &T) {
    if (T.Task_.Job_ != Job)
      return false;
    Removed.push_back(T.Task_.Index_);
    return true;
  };
  Queue_.erase(std::remove_if(Queue_.begin(), Queue_.end(), IsOfJob),
               Queue_.end());
  return Removed;
}

std::vector<TaskRef> Scheduler::expire(Time Now) {
  std::vector<TaskRef> Expired;
  const auto IsPast = [&](const WaitingTask &T) {
    if (!T.Deadline_ || *T.Deadline_ > Now)
      return false;
    Expired.push_back(T.Task_);
    return true;
  };
  Queue_.erase(std::remove_if(Queue_.begin(), Queue_.end(), IsPast),
               Queue_.end());
  return Expired;
}

void Scheduler::onFinished(const TaskRef &, const AgentId &, RunOutcome,
                           Duration, Time) {}
void Scheduler::onRejected(const TaskRef &, const AgentId &, RejectReason,
                           Time) {}
void Scheduler::onLost(const TaskRef &, const AgentId &, Time) {}

// A report counts the starts that the agent had received when it made it, so
// starts that are still on their way are taken off the credit.
std::uint32_t Scheduler::room(const AgentState &Agent) const {
  if (Agent.Info_.Leaving_)
    return 0;
  const std::uint64_t OnTheWay =
      Agent.StartsSent_ -
      std::min(Agent.StartsSent_, Agent.Report_.StartsSeen_);
  if (OnTheWay >= Agent.Report_.Credit_)
    return 0;
  return Agent.Report_.Credit_ - static_cast<std::uint32_t>(OnTheWay);
}

// Takes the agent with the most room for each task, until no agent has any. A
// task whose service has no room does not hold back the tasks of other
// services.
std::vector<Placement> Scheduler::place(Time) {
  std::vector<Placement> Placements;
  std::deque<WaitingTask> Left;
  const bool IsRandom = Config_.Placement_ == "random" && !Agents_.empty();
  const auto HasRoom = [&](const auto &A) { return room(A.second) > 0; };
  while (!Queue_.empty() &&
         (IsRandom || std::any_of(Agents_.begin(), Agents_.end(), HasRoom))) {
    WaitingTask Task = std::move(Queue_.front());
    Queue_.pop_front();
    if (IsRandom) {
      const auto It = std::next(Agents_.begin(),
                                static_cast<long>(Random_() % Agents_.size()));
      Placements.push_back({Task.Task_, It->first, "random"});
      ++It->second.StartsSent_;
      continue;
    }
    AgentState *Best = nullptr;
    const AgentId *BestId = nullptr;
    for (auto &[Id, Agent] : Agents_) {
      if (Agent.Info_.Service_ != Task.Service_ || room(Agent) == 0)
        continue;
      if (!Best || room(Agent) > room(*Best)) {
        Best = &Agent;
        BestId = &Id;
      }
    }
    if (!Best) {
      Left.push_back(std::move(Task));
      continue;
    }
    Placements.push_back(
        {Task.Task_, *BestId, "most room: " + std::to_string(room(*Best))});
    ++Best->StartsSent_;
  }
  while (!Left.empty()) {
    Queue_.push_front(std::move(Left.back()));
    Left.pop_back();
  }
  return Placements;
}

} // namespace chivelanding
