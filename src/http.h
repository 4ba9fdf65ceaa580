#ifndef CHIVELANDING_HTTP_H
#define CHIVELANDING_HTTP_H

#include <string>
#include <string_view>
#include <vector>

namespace chivelanding {

struct HttpHeader {
  std::string Name_;
  std::string Value_;
};

/// A complete request, as received by HttpServer or sent by HttpClient.
struct HttpRequest {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  std::vector<HttpHeader> Headers_;
  std::string Body_;
  /// Set by HttpServer: the sender had closed its connection when the request
  /// was read. Nobody waits for the response.
  bool SenderGone_ = false;

  /// Value of the first header of this name, ignoring case; empty if absent.
  std::string_view header(std::string_view Name) const;
};

/// A complete response, as sent by HttpServer or received by HttpClient.
struct HttpResponse {
  unsigned Status_ = 200;
  std::string ContentType_ = "application/json";
  std::vector<HttpHeader> Headers_;
  std::string Body_;
};

} // namespace chivelanding

#endif
