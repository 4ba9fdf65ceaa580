#ifndef CHIVELANDING_DISPATCH_METRICS_H
#define CHIVELANDING_DISPATCH_METRICS_H

#include "dispatcher.h"
#include "metrics.h"
#include "settings.h"

#include <string>

namespace chivelanding {

/// An answered request, as recorded in the metrics of an entry.
struct AnsweredRequest {
  std::string Route_;
  /// From the request to the answer.
  Duration Latency_{0};
  /// Time objective of the route for jobs of this length; zero if none.
  Duration Objective_{0};
};

void countAnswer(Metrics &M, const AnswerJob &A, const AnsweredRequest &R);
/// Sets the gauges of jobs, resources and agents from the present state of the
/// dispatcher.
void setDispatchMetrics(Metrics &M, const Dispatcher &D, Time Now);
/// Sets the gauges of the cordons that are in force. Sets nothing if the
/// settings do not enable cordons.
void setCordonMetrics(Metrics &M, const CordonSettings &S,
                      const ZoneCordons &Current, const AgentPool &Agents);

} // namespace chivelanding

#endif
