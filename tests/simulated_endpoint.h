#ifndef CHIVELANDING_SIMULATED_ENDPOINT_H
#define CHIVELANDING_SIMULATED_ENDPOINT_H

#include "endpoint_port.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chivelanding::test {

/// Model of an endpoint that runs tasks under a lease. It guarantees what
/// endpoint_port.h requires of an endpoint, and nothing more.
class SimulatedEndpoint {
public:
  struct Observer {
    std::function<void(const TaskKey &)> OnStarted_;
    std::function<void(const TaskKey &, RunEnding)> OnEnded_;
    /// Draws run time and ending of a run.
    std::function<std::pair<Duration, RunEnding>(const TaskKey &)> DrawOutcome_;
    std::function<void(const std::string &)> Fail_;
  };

  void startIncarnation(const std::string &Id, std::uint64_t StartedMs,
                        double ClockRate, Resources Capacity, Observer O,
                        Time Now);
  /// Ends the incarnation and all its runs.
  void crash(Time Now);
  /// Ends the runs that are due. To be called every few milliseconds.
  void advance(Time Now);

  CallAnswer start(const StartCall &C, const Resources &Need, Time Now);
  CallAnswer stop(const StopCall &C, Time Now);
  Result<PollAnswer> poll(const PollCall &C, Time Now);
  bool hasEnds(const PollCall &C) const;
  /// Sets the largest number of ends in one answer to a poll.
  void setEndsPerAnswer(std::size_t Ends) { EndsPerAnswer_ = Ends; }

  bool alive() const { return Alive_; }
  const std::string &id() const { return Id_; }
  std::uint64_t startedMs() const { return StartedMs_; }
  std::uint64_t clockMs(Time Now) const;
  EndpointIncarnation announcement(std::uint64_t Sequence, Time Now) const;

private:
  struct Run {
    std::uint32_t Number_ = 0;
    Resources Need_;
    Time Started_;
    Duration Length_{0};
    RunEnding Ending_ = RunEnding::Done;
    bool Stopping_ = false;
    Time StopAt_;
  };

  void end(std::map<TaskKey, Run>::iterator It, RunEnding Ending);
  /// True if a higher token was seen; remembers this one otherwise.
  bool tokenTooLow(std::uint64_t Token);

  bool Alive_ = false;
  std::string Id_;
  std::uint64_t StartedMs_ = 0;
  double ClockRate_ = 1;
  Resources Capacity_;
  Resources Used_;
  Observer Observer_;
  Time StartedAt_;
  std::uint64_t Token_ = 0;
  std::uint64_t LeaseEndMs_ = 0;
  std::map<TaskKey, Run> Runs_;
  /// Highest number of a run of the task that has ended or was stopped here.
  std::map<TaskKey, std::uint32_t> LastEndedRun_;
  std::vector<ListedEnd> Ends_;
  std::uint64_t NextEnd_ = 1;
  std::size_t EndsPerAnswer_ = 500;
};

} // namespace chivelanding::test

#endif
