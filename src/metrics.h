#ifndef CHIVELANDING_METRICS_H
#define CHIVELANDING_METRICS_H

#include "events.h"
#include "http.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace chivelanding {

/// Metrics of one process in the Prometheus text format.
class Metrics {
public:
  using Labels = std::map<std::string, std::string>;

  /// The labels in Common are added to every metric.
  explicit Metrics(Labels Common);
  ~Metrics();

  /// Counts an occurrence of a log event, even if its line is not logged.
  void count(const EventType &Type);
  /// Increments a counter with labels of its own. Label values must come from
  /// bounded sets, such as routes and codes, to bound the number of series.
  void count(const char *Name, const char *Help, const Labels &Own);
  void set(const char *Name, const char *Help, double Value);
  /// Replaces all values of this gauge by one for each value of the label.
  void setEach(const char *Name, const char *Help, const char *Label,
               const std::map<std::string, double> &Values);
  /// Records a duration in seconds in a histogram.
  void observe(const char *Name, const char *Help, double Seconds,
               const Labels &Own = {});
  /// Records a ratio in a histogram with bounds around 1.
  void observeRatio(const char *Name, const char *Help, double Ratio,
                    const Labels &Own);

  /// The response to GET /metrics.
  HttpResponse render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
