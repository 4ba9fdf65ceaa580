#include "periodic_timer.h"

#include "clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chivelanding {

struct PeriodicTimer::Impl : std::enable_shared_from_this<PeriodicTimer::Impl> {
  explicit Impl(boost::asio::io_context &Io) : Timer_(Io) {}

  void wait();

  boost::asio::steady_timer Timer_;
  Duration Period_{0};
  Callback OnTick_;
  bool Stopped_ = false;
};

void PeriodicTimer::Impl::wait() {
  Timer_.expires_after(Period_);
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Ec) {
        if (Ec || Self->Stopped_)
          return;
        Self->OnTick_(steadyNow());
        if (!Self->Stopped_)
          Self->wait();
      });
}

PeriodicTimer::PeriodicTimer(boost::asio::io_context &Io)
    : Impl_(std::make_shared<Impl>(Io)) {}

PeriodicTimer::~PeriodicTimer() { stop(); }

void PeriodicTimer::start(Duration Period, Callback OnTick) {
  Impl_->Period_ = Period;
  Impl_->OnTick_ = std::move(OnTick);
  Impl_->wait();
}

void PeriodicTimer::stop() {
  Impl_->Stopped_ = true;
  Impl_->Timer_.cancel();
}

} // namespace chivelanding
