#ifndef CHIVELANDING_WAITING_CALLERS_H
#define CHIVELANDING_WAITING_CALLERS_H

#include "dispatcher.h"
#include "http_server.h"

#include <map>
#include <string>
#include <vector>

namespace chivelanding {

struct WaitingCaller {
  HttpReplyPtr Reply_;
  Time Received_;
  std::string Route_;
  /// Latency objective of the route for a job of this estimated length.
  Duration Objective_{0};
};

/// The callers that wait for the answers of an entry's jobs. A job has more
/// than one if it was submitted again.
class WaitingCallers {
public:
  void add(JobNumber Job, WaitingCaller Caller);
  /// Removes a caller. True if it was the last one of the job.
  bool remove(JobNumber Job, const HttpReply *Reply);
  /// Removes and returns all callers of the job.
  std::vector<WaitingCaller> take(JobNumber Job);
  /// Removes and returns the oldest caller of the job that has most callers;
  /// nothing if no job has more than one.
  std::vector<WaitingCaller> takeRepeated(JobNumber &Job);

  const std::vector<WaitingCaller> &of(JobNumber Job) const;
  std::vector<JobNumber> jobs() const;
  std::size_t size() const { return Size_; }

private:
  std::map<JobNumber, std::vector<WaitingCaller>> ByJob_;
  std::size_t Size_ = 0;
};

} // namespace chivelanding

#endif
