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

/// A whole request as received by HttpServer or sent by HttpClient.
struct HttpRequest {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  std::vector<HttpHeader> Headers_;
  std::string Body_;

  /// Value of a header by its name in any case; empty if absent.
  std::string_view header(std::string_view Name) const;
};

/// A whole response.
struct HttpResponse {
  unsigned Status_ = 200;
  std::string ContentType_ = "application/json";
  std::vector<HttpHeader> Headers_;
  std::string Body_;
};

} // namespace chivelanding

#endif
