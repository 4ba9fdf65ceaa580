#include "owner_output.h"

namespace chivelanding {

Event placementEvent(const LogPlacement &Log) {
  const Placement &P = Log.Placement_;
  return {&events::TaskPlaced,
          {{"job", P.Task_.Job_.str()},
           {"task", std::to_string(P.Task_.Index_.value())},
           {"agent", P.Agent_.str()},
           {"reason", P.Reason_}}};
}

LogEvent jobEvent(const EventType &Type, const JobId &Id,
                  std::vector<EventField> Fields) {
  Event E{&Type, {{"job", Id.str()}}};
  for (EventField &Field : Fields)
    E.Fields_.push_back(std::move(Field));
  return {std::move(E)};
}

void refuseSubmission(const JobId &Id, ReplyId Reply, JobAnswer Answer,
                      OwnerOutputs &Out) {
  Out.push_back(jobEvent(
      events::JobRefused, Id,
      {{"code", Answer.Code_}, {"outcome", outcomeName(Answer.Outcome_)}}));
  Out.push_back(SendAnswer{Reply, Id, std::move(Answer)});
}

} // namespace chivelanding
