#ifndef CHIVELANDING_METRICS_H
#define CHIVELANDING_METRICS_H

#include "events.h"
#include "http.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace chivelanding {

/// Named figures of one process in the Prometheus text format.
class Metrics {
public:
  using Labels = std::map<std::string, std::string>;

  /// Labels are put on every figure.
  explicit Metrics(Labels Common);
  ~Metrics();

  /// Counts an occurrence of a log event, also if it is not logged.
  void count(const EventType &Type);
  void set(const char *Name, const char *Help, double Value);
  /// Records a time in seconds in a histogram.
  void observe(const char *Name, const char *Help, double Seconds);

  /// The response to GET /metrics.
  HttpResponse render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
