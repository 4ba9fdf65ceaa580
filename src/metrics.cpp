#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <unordered_map>
#include <vector>

namespace chivelanding {
namespace {

// Upper bounds of the duration buckets in seconds: from less than a network
// round trip to the longest usual tasks.
const prometheus::Histogram::BucketBoundaries TimeBuckets = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,   0.5,   1,      2.5,   5,    10,    30};

// Upper bounds of ratios of a measured time to its objective: up to 1 the
// objective was met; above 4 the job is of little use to its caller.
const prometheus::Histogram::BucketBoundaries RatioBuckets = {
    0.25, 0.5, 0.75, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 4};

} // namespace

struct Metrics::Impl {
  /// Finds or registers the family of this name, with the common labels.
  template <typename T, typename Builder>
  prometheus::Family<T> &
  family(std::unordered_map<const char *, prometheus::Family<T> *> &Families,
         Builder B, const char *Name, const char *Help) {
    auto *&F = Families[Name];
    if (!F)
      F = &B.Name(Name).Help(Help).Labels(CommonLabels_).Register(Registry_);
    return *F;
  }
  // Caches the histogram, since Family::Add() builds a new one on each look-up.
  prometheus::Histogram &
  histogram(const char *Name, const char *Help, const Labels &Own,
            const prometheus::Histogram::BucketBoundaries &Buckets) {
    auto *&H = Histograms_[{Name, Own}];
    if (!H)
      H = &family(HistogramFamilies_, prometheus::BuildHistogram(), Name, Help)
               .Add(Own, Buckets);
    return *H;
  }
  prometheus::Family<prometheus::Gauge> &gauges(const char *Name,
                                                const char *Help) {
    return family(Gauges_, prometheus::BuildGauge(), Name, Help);
  }

  prometheus::Registry Registry_;
  prometheus::Labels CommonLabels_;
  // One counter per event number, so that counting needs no look-up by name.
  std::unordered_map<std::uint16_t, prometheus::Counter *> Events_;
  std::unordered_map<const char *, prometheus::Family<prometheus::Counter> *>
      Counters_;
  std::unordered_map<const char *, prometheus::Family<prometheus::Gauge> *>
      Gauges_;
  std::unordered_map<const char *, prometheus::Family<prometheus::Histogram> *>
      HistogramFamilies_;
  std::map<std::pair<const char *, Labels>, prometheus::Histogram *>
      Histograms_;
  std::unordered_map<const char *, std::vector<prometheus::Gauge *>>
      LabelledGauges_;
};

Metrics::Metrics(Labels Common) : Impl_(std::make_unique<Impl>()) {
  Impl_->CommonLabels_ = std::move(Common);
}

Metrics::~Metrics() = default;

void Metrics::count(const EventType &Type) {
  auto *&Counter = Impl_->Events_[Type.Number_];
  if (!Counter)
    Counter = &prometheus::BuildCounter()
                   .Name("chivelanding_events_total")
                   .Help("Log events by name, as in docs/events.md.")
                   .Labels(Impl_->CommonLabels_)
                   .Register(Impl_->Registry_)
                   .Add({{"event", Type.Name_}});
  Counter->Increment();
}

void Metrics::count(const char *Name, const char *Help, const Labels &Own) {
  Impl_->family(Impl_->Counters_, prometheus::BuildCounter(), Name, Help)
      .Add(Own)
      .Increment();
}

void Metrics::set(const char *Name, const char *Help, double Value) {
  Impl_->gauges(Name, Help).Add({}).Set(Value);
}

void Metrics::setEach(const char *Name, const char *Help, const char *Label,
                      const std::map<std::string, double> &Values) {
  auto &Family = Impl_->gauges(Name, Help);
  auto &Current = Impl_->LabelledGauges_[Name];
  for (prometheus::Gauge *Old : Current)
    Family.Remove(Old);
  Current.clear();
  for (const auto &[Text, Value] : Values) {
    Current.push_back(&Family.Add({{Label, Text}}));
    Current.back()->Set(Value);
  }
}

void Metrics::observe(const char *Name, const char *Help, double Seconds,
                      const Labels &Own) {
  Impl_->histogram(Name, Help, Own, TimeBuckets).Observe(Seconds);
}

void Metrics::observeRatio(const char *Name, const char *Help, double Ratio,
                           const Labels &Own) {
  Impl_->histogram(Name, Help, Own, RatioBuckets).Observe(Ratio);
}

HttpResponse Metrics::render() const {
  HttpResponse R;
  R.ContentType_ = "text/plain; version=0.0.4";
  R.Body_ = prometheus::TextSerializer().Serialize(Impl_->Registry_.Collect());
  return R;
}

} // namespace chivelanding
