#ifndef CHIVELANDING_ENDPOINT_PORT_H
#define CHIVELANDING_ENDPOINT_PORT_H

#include "result.h"
#include "run_message.h"
#include "settings.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chivelanding {

/// What an endpoint says of itself in one life, from its start to its end.
struct EndpointIncarnation {
  std::string Id_;
  /// Unix milliseconds of its start. Tells lives with the same id apart.
  std::uint64_t StartedMs_ = 0;
  ServiceName Service_;
  ZoneName Zone_;
  RackName Rack_;
  SocketAddress Address_;
  Resources Capacity_;
  /// Takes no new runs; those at work go on for a while.
  bool Leaving_ = false;
  /// Increases with each announcement of a life.
  std::uint64_t Sequence_ = 0;
  /// The endpoint's own clock in milliseconds when it announced itself.
  std::uint64_t ClockMs_ = 0;
};

/// Name of a task at an endpoint.
struct TaskKey {
  JobKey Job_;
  TaskIndex Index_;
  friend bool operator<(const TaskKey &A, const TaskKey &B) {
    return std::tie(A.Job_, A.Index_) < std::tie(B.Job_, B.Index_);
  }
};

/// Call of an endpoint: start a run.
struct StartCall {
  std::string Endpoint_;
  TaskKey Task_;
  std::uint32_t Run_ = 0;
  std::string Payload_;
  /// End of the endpoint's lease on its own clock, in milliseconds.
  std::uint64_t LeaseEndMs_ = 0;
  std::uint64_t Token_ = 0;
};

/// Call of an endpoint: stop a run, or never start it.
struct StopCall {
  std::string Endpoint_;
  TaskKey Task_;
  std::uint32_t Run_ = 0;
  std::uint64_t Token_ = 0;
};

/// Call of an endpoint: list the runs and, with a lease end, renew the lease.
struct PollCall {
  std::string Endpoint_;
  std::optional<std::uint64_t> LeaseEndMs_;
  std::uint64_t Token_ = 0;
  /// Ends up to this number were taken note of.
  std::uint64_t Acknowledged_ = 0;
  /// Longest time that the answer may wait for an end.
  Duration Wait_{0};
};

/// What came of a start or stop call.
enum class CallAnswer : std::uint8_t {
  Accepted,
  /// A higher fencing token was seen.
  StaleToken,
  /// A run of this task with this number or a higher one was ended there.
  StaleRun,
  LeaseOver,
  NoRoom,
  /// Nothing was done.
  Unhealthy,
  /// Another life answered; nothing was done.
  OtherLife,
  Malformed,
  /// No connection; nothing was sent.
  NotSent,
  /// Sent without an answer: it may be carried out at any later time.
  Unanswered
};

/// Stable text of an answer in logs.
const char *callAnswerName(CallAnswer A);

struct StartStopAnswer {
  CallAnswer Answer_ = CallAnswer::Unanswered;
  /// The endpoint's clock in milliseconds, if the answer had it.
  std::optional<std::uint64_t> ClockMs_;
};

/// A run that an endpoint lists as at work.
struct RunningRun {
  TaskKey Task_;
  std::uint32_t Run_ = 0;
  /// Share of the work that is done.
  std::uint32_t Percent_ = 0;
};

/// An end that an endpoint lists.
struct ListedEnd {
  /// Position in the endpoint's list of ends, from 1 in each life.
  std::uint64_t Number_ = 0;
  TaskKey Task_;
  std::uint32_t Run_ = 0;
  RunEnding Ending_ = RunEnding::Lost;
};

struct PollAnswer {
  std::uint64_t ClockMs_ = 0;
  /// Zero if the answer does not have it.
  std::uint64_t StartedMs_ = 0;
  std::vector<RunningRun> Running_;
  std::vector<ListedEnd> Ended_;
};

/// Calls of the endpoint beside an agent. Callbacks never run inside a call.
class EndpointPort {
public:
  EndpointPort() = default;
  EndpointPort(const EndpointPort &) = delete;
  EndpointPort &operator=(const EndpointPort &) = delete;
  virtual ~EndpointPort() = default;

  virtual void start(const SocketAddress &To, const StartCall &Call,
                     Duration Timeout,
                     std::function<void(const StartStopAnswer &)> Done) = 0;
  virtual void stop(const SocketAddress &To, const StopCall &Call,
                    Duration Timeout,
                    std::function<void(const StartStopAnswer &)> Done) = 0;
  /// Error codes: connect_failed (nothing was sent), and those of HttpClient;
  /// bad_response; other_life.
  virtual void poll(const SocketAddress &To, const PollCall &Call,
                    Duration Timeout,
                    std::function<void(const Result<PollAnswer> &)> Done) = 0;
};

} // namespace chivelanding

#endif
