#ifndef CHIVELANDING_LOG_TRANSPORT_H
#define CHIVELANDING_LOG_TRANSPORT_H

#include "log_client.h"
#include "settings.h"

#include <boost/asio/io_context.hpp>

namespace chivelanding {

/// Sends each request over a connection of its own with Boost.Beast, so that a
/// long poll never delays an append and a silent connection costs one request.
class BeastLogTransport : public LogTransport {
public:
  BeastLogTransport(boost::asio::io_context &Context, SocketAddress Log)
      : Context_(Context), Log_(std::move(Log)) {}

  void send(LogRequest Request, Callback Done) override;

private:
  boost::asio::io_context &Context_;
  SocketAddress Log_;
};

} // namespace chivelanding

#endif
