#ifndef CHIVELANDING_ENDPOINT_PORT_H
#define CHIVELANDING_ENDPOINT_PORT_H

#include "result.h"
#include "run_message.h"
#include "settings.h"
#include "skipped_items.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chivelanding {

/// What an endpoint announces about one of its incarnations. An incarnation
/// lasts from a start of the endpoint to its end.
struct EndpointIncarnation {
  std::string Id_;
  /// Time of its start in Unix milliseconds. Tells incarnations with the same
  /// id apart.
  std::uint64_t StartedMs_ = 0;
  ServiceName Service_;
  ZoneName Zone_;
  RackName Rack_;
  SocketAddress Address_;
  Resources Capacity_;
  /// Takes no new runs; running ones go on for a while.
  bool Leaving_ = false;
  /// Increases with each announcement of an incarnation.
  std::uint64_t Sequence_ = 0;
  /// The endpoint's own clock in milliseconds when it announced itself.
  std::uint64_t ClockMs_ = 0;
  /// Time for which the endpoint stays slower than usual after it became cold,
  /// as of its announcement.
  Duration ColdRemaining_{0};
  /// Fields that are out of range and are not used as they were sent.
  SkippedItems Skipped_;
};

/// Identifies a task at an endpoint.
struct TaskKey {
  JobKey Job_;
  TaskIndex Index_;
  friend bool operator<(const TaskKey &A, const TaskKey &B) {
    return std::tie(A.Job_, A.Index_) < std::tie(B.Job_, B.Index_);
  }
};

/// Call to an endpoint: start a run.
struct StartCall {
  std::string Endpoint_;
  TaskKey Task_;
  std::uint32_t Run_ = 0;
  std::string Payload_;
  /// End of the endpoint's lease on its own clock, in milliseconds.
  std::uint64_t LeaseEndMs_ = 0;
  std::uint64_t Token_ = 0;
};

/// Call to an endpoint: stop a run, and refuse every later start of this run.
struct StopCall {
  std::string Endpoint_;
  TaskKey Task_;
  std::uint32_t Run_ = 0;
  std::uint64_t Token_ = 0;
};

/// Long-poll call to an endpoint: lists running and ended runs, acknowledges
/// ends and, if a lease end is given, renews the endpoint lease.
struct PollCall {
  std::string Endpoint_;
  std::optional<std::uint64_t> LeaseEndMs_;
  std::uint64_t Token_ = 0;
  /// Ends up to this number were processed; the endpoint may drop them.
  std::uint64_t Acknowledged_ = 0;
  /// Longest time for which the endpoint may delay the answer until a run ends.
  Duration Wait_{0};
};

/// Result of a start or stop call.
enum class CallAnswer : std::uint8_t {
  Accepted,
  /// A higher fencing token was seen.
  StaleToken,
  /// A run of this task with this number or a higher one has ended or was
  /// stopped there.
  StaleRun,
  LeaseOver,
  NoRoom,
  /// The endpoint is overloaded or out of service; nothing was done.
  Unhealthy,
  /// Another incarnation answered; nothing was done.
  OtherLife,
  Malformed,
  /// No connection; nothing was sent.
  NotSent,
  /// Sent but not answered: the call may be carried out at any later time.
  Unanswered
};

/// Name of an answer in logs; never changes.
const char *callAnswerName(CallAnswer A);

struct StartStopAnswer {
  CallAnswer Answer_ = CallAnswer::Unanswered;
  /// The endpoint's clock in milliseconds, if the answer contained it.
  std::optional<std::uint64_t> ClockMs_;
};

/// A run that an endpoint lists as running.
struct RunningRun {
  TaskKey Task_;
  std::uint32_t Run_ = 0;
  /// Completed share of the work in per cent.
  std::uint32_t Percent_ = 0;
};

/// An ended run that an endpoint lists.
struct ListedEnd {
  /// Position in the endpoint's list of ends, from 1 in each incarnation.
  std::uint64_t Number_ = 0;
  TaskKey Task_;
  std::uint32_t Run_ = 0;
  RunEnding Ending_ = RunEnding::Lost;
};

struct PollAnswer {
  std::uint64_t ClockMs_ = 0;
  /// Start of the answering incarnation in Unix milliseconds; zero if the
  /// answer does not contain it.
  std::uint64_t StartedMs_ = 0;
  std::vector<RunningRun> Running_;
  /// Tasks of rows that list a running run but are malformed otherwise.
  std::vector<TaskKey> Unreadable_;
  /// The oldest ends that are not acknowledged. Others may follow.
  std::vector<ListedEnd> Ended_;
  SkippedItems Skipped_;
};

/// Makes the calls to the endpoint beside an agent. Callbacks never run before
/// the call that takes them has returned.
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
  /// Error codes: connect_failed (nothing was sent) and the other codes of
  /// HttpClient; bad_response; stale_token (the endpoint has seen a higher
  /// one); other_life (another incarnation answered); refused.
  virtual void poll(const SocketAddress &To, const PollCall &Call,
                    Duration Timeout,
                    std::function<void(const Result<PollAnswer> &)> Done) = 0;
};

} // namespace chivelanding

#endif
