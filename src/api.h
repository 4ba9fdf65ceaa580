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

/// Parts of a request target: path segments and query values, percent-decoded.
struct Target {
  std::vector<std::string> Path_;
  std::vector<HttpHeader> Query_;

  /// Value of a query parameter; empty if absent.
  std::string query(std::string_view Name) const;
  /// Error code: bad_target.
  static Result<Target> parse(std::string_view Text);
};

/// Text as one path segment or query value.
std::string percentEncode(std::string_view Text);

/// Reads the body of POST /v1/jobs. A payload that is a JSON string is passed
/// to the endpoint as its characters, any other payload as JSON text. Error
/// codes: bad_json, bad_job, bad_token, token_required, too_many_tasks,
/// duplicate_task_id.
Result<JobSpec> parseJob(const std::string &Body, const TeamName &Team,
                         std::uint32_t MaxTasks);

/// Reads POST /v1/requests/SERVICE/KIND as a job of one task. Error codes:
/// token_required, bad_token, bad_job.
Result<JobSpec> parseSingle(HttpRequest &&Request, const Target &T,
                            const TeamName &Team);

/// Answer to a whole job. A result that is not valid UTF-8 is given as
/// {"base64":TEXT}.
HttpResponse renderAnswer(const JobId &Job, const JobAnswer &Answer);
/// Answer to a single request: the endpoint's response body as it is.
HttpResponse renderSingle(const JobId &Job, const JobAnswer &Answer);
/// A refusal with cause not_run.
HttpResponse renderRefusal(const Error &E);

/// Endpoint attributes and address in PUT /v1/endpoint.
struct EndpointAnnouncement {
  EndpointInfo Info_;
  SocketAddress Address_;
};
/// Error codes: bad_json, bad_endpoint.
Result<EndpointAnnouncement> parseEndpoint(const std::string &Body);

/// Reads HOST:PORT with a numeric address. Error code: bad_address.
Result<SocketAddress> parseAddress(const std::string &Text);

} // namespace chivelanding

#endif
