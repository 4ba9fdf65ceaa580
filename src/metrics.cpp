#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <unordered_map>

namespace chivelanding {
namespace {

// Upper bounds of the time buckets in seconds: from below a round trip to the
// longest usual tasks.
const prometheus::Histogram::BucketBoundaries TimeBuckets = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,   0.5,   1,      2.5,   5,    10,    30};

} // namespace

struct Metrics::Impl {
  prometheus::Registry Registry_;
  prometheus::Labels Common_;
  // One counter per event number, so that counting costs no search by text.
  std::unordered_map<std::uint16_t, prometheus::Counter *> Events_;
  std::unordered_map<const char *, prometheus::Gauge *> Gauges_;
  std::unordered_map<const char *, prometheus::Histogram *> Histograms_;
};

Metrics::Metrics(Labels Common) : Impl_(std::make_unique<Impl>()) {
  Impl_->Common_ = std::move(Common);
}

Metrics::~Metrics() = default;

void Metrics::count(const EventType &Type) {
  auto *&Counter = Impl_->Events_[Type.Number_];
  if (!Counter)
    Counter = &prometheus::BuildCounter()
                   .Name("chivelanding_events_total")
                   .Help("Log events by name, as in docs/events.md.")
                   .Labels(Impl_->Common_)
                   .Register(Impl_->Registry_)
                   .Add({{"event", Type.Name_}});
  Counter->Increment();
}

void Metrics::set(const char *Name, const char *Help, double Value) {
  auto *&Gauge = Impl_->Gauges_[Name];
  if (!Gauge)
    Gauge = &prometheus::BuildGauge()
                 .Name(Name)
                 .Help(Help)
                 .Labels(Impl_->Common_)
                 .Register(Impl_->Registry_)
                 .Add({});
  Gauge->Set(Value);
}

void Metrics::observe(const char *Name, const char *Help, double Seconds) {
  auto *&Histogram = Impl_->Histograms_[Name];
  if (!Histogram)
    Histogram = &prometheus::BuildHistogram()
                     .Name(Name)
                     .Help(Help)
                     .Labels(Impl_->Common_)
                     .Register(Impl_->Registry_)
                     .Add({}, TimeBuckets);
  Histogram->Observe(Seconds);
}

HttpResponse Metrics::render() const {
  HttpResponse R;
  R.ContentType_ = "text/plain; version=0.0.4";
  R.Body_ = prometheus::TextSerializer().Serialize(Impl_->Registry_.Collect());
  return R;
}

} // namespace chivelanding
