#ifndef CHIVELANDING_DISPATCH_METRICS_H
#define CHIVELANDING_DISPATCH_METRICS_H

#include "dispatcher.h"
#include "metrics.h"

#include <string>

namespace chivelanding {

/// One request with its answer, for the metrics of an entry.
struct AnsweredRequest {
  std::string Route_;
  /// From the request to the answer.
  Duration Latency_{0};
  /// Time within which the route's jobs of this length are to end.
  Duration Objective_{0};
};

void countAnswer(Metrics &M, const AnswerJob &A, const AnsweredRequest &R);
/// Work, room and agents as the dispatcher believes them to be now.
void setDispatchMetrics(Metrics &M, const Dispatcher &D, Time Now);

} // namespace chivelanding

#endif
