#ifndef CHIVELANDING_OWNER_OUTPUT_H
#define CHIVELANDING_OWNER_OUTPUT_H

#include "events.h"
#include "job_record.h"
#include "message.h"
#include "scheduler.h"

#include <variant>
#include <vector>

namespace chivelanding {

/// Output: deliver a message to an agent.
struct SendToAgent {
  AgentId To_;
  Message Message_;
};

/// Output: send this answer to a waiting caller or relaying peer.
struct SendAnswer {
  ReplyId To_;
  JobId Job_;
  JobAnswer Answer_;
};

/// Output: record a placement in the decision log.
struct LogPlacement {
  Placement Placement_;
};

/// Builds the log event of a placement.
Event placementEvent(const LogPlacement &Log);

/// Output: relay this submission to another entry, and send its answer to
/// Reply_. If that entry does not respond, the answer is
/// "owner_unreachable".
struct RelayToEntry {
  EntryId To_;
  ReplyId Reply_;
  JobSpec Spec_;
};

using OwnerOutput =
    std::variant<SendToAgent, SendAnswer, LogPlacement, RelayToEntry, LogEvent>;
using OwnerOutputs = std::vector<OwnerOutput>;

/// Answers a submission with a refusal, and logs it.
void refuseSubmission(const JobId &Id, ReplyId Reply, JobAnswer Answer,
                      OwnerOutputs &Out);

/// Builds a log event about a job.
LogEvent jobEvent(const EventType &Type, const JobId &Id,
                  std::vector<EventField> Fields = {});

} // namespace chivelanding

#endif
