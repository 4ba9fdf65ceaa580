#ifndef CHIVELANDING_API_H
#define CHIVELANDING_API_H

#include "http.h"
#include "job.h"
#include "message.h"
#include "result.h"
#include "settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivelanding {

/// The percent-decoded path segments and query parameters of a request target.
struct Target {
  std::vector<std::string> Path_;
  std::vector<HttpHeader> Query_;

  /// Value of a query parameter, the first if it occurs several times; empty if
  /// absent.
  std::string query(std::string_view Name) const;
  /// Error code: bad_target.
  static Result<Target> parse(std::string_view Text);
};

/// Encodes Text for use as one path segment or query value.
std::string percentEncode(std::string_view Text);

/// Parses the body of POST /v1/jobs. A payload that is a JSON string is passed
/// to the endpoint without quotes and escapes, any other payload as JSON. Error
/// codes: bad_json, bad_job, bad_token (malformed owner token), token_required,
/// too_many_tasks, duplicate_task_id.
Result<JobSpec> parseJob(const std::string &Body, const TeamName &Team,
                         std::uint32_t MaxTasks);

/// Converts POST /v1/requests/SERVICE/KIND to a job of one task. T must
/// be a target of this form, with four path segments. Error codes:
/// token_required, bad_token, bad_job.
Result<JobSpec> parseSingle(HttpRequest &&Request, const Target &T,
                            const TeamName &Team);

/// Renders the answer to a job: the results of its tasks if it completed,
/// otherwise the error. A result that is not valid UTF-8 is rendered as
/// {"base64":TEXT}.
HttpResponse renderAnswer(const JobId &Job, const JobAnswer &Answer);
/// Renders the answer to a single request: the endpoint's response body,
/// unchanged, if the request completed, otherwise the error.
HttpResponse renderSingle(const JobId &Job, const JobAnswer &Answer);
/// Renders the refusal of a request; the cause in the response is not_run.
HttpResponse renderRefusal(const Error &E);

/// Attributes and address of an endpoint, as announced by PUT /v1/endpoint.
struct EndpointAnnouncement {
  EndpointInfo Info_;
  SocketAddress Address_;
};
/// Parses the body of PUT /v1/endpoint. Error codes: bad_json, bad_endpoint.
Result<EndpointAnnouncement> parseEndpoint(const std::string &Body);

/// Parses HOST:PORT. The host may be any non-empty text; the port must be a
/// number. Error code: bad_address.
Result<SocketAddress> parseAddress(const std::string &Text);

} // namespace chivelanding

#endif
