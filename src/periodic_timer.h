#ifndef CHIVELANDING_PERIODIC_TIMER_H
#define CHIVELANDING_PERIODIC_TIMER_H

#include "types.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Calls a function periodically: first one Period after start(), then one
/// Period after the previous call has returned. Makes no calls after stop() or
/// destruction.
class PeriodicTimer {
public:
  using Callback = std::function<void(Time Now)>;

  explicit PeriodicTimer(boost::asio::io_context &Io);
  ~PeriodicTimer();
  PeriodicTimer(const PeriodicTimer &) = delete;
  PeriodicTimer &operator=(const PeriodicTimer &) = delete;

  void start(Duration Period, Callback OnTick);
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
