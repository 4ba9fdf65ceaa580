#include "admin_publisher.h"
#include "admin_cordons.h"
#include "bearer.h"

namespace chivelanding {

namespace {

// Attempts to publish one edit. Each stale attempt means that another change
// was accepted within the few milliseconds since the last one; operators and
// their scripts publish 1,700 changes a day.
constexpr std::uint32_t MaxAttempts = 8;

} // namespace

// Until operators are configured, administration is allowed only if the admin
// listener is on a loopback address, that is to processes of the same VM.
bool AdminPublisher::mayAdminister(const HttpRequest &Request,
                                   bool Changes) const {
  const ConfigSet &Set = Config_.state()->Set_;
  if (Set.all(ObjectType::Operator).empty())
    return IsLoopback_;
  const ConfigObject *Operator =
      findByToken(Set, ObjectType::Operator, Request);
  return Operator && (!Changes || Operator->text("role") == "publisher");
}

void AdminPublisher::onRequest(const HttpRequest &Request,
                               const HttpReplyPtr &Reply) {
  AdminResult Decision =
      handleAdminRequest(Request, Config_.view(), newChangeId());
  if (Decision.Event_)
    Log_.write(*Decision.Event_);
  if (auto *Response = std::get_if<HttpResponse>(&Decision.Action_))
    return Reply->send(std::move(*Response));
  publish(std::move(std::get<AdminPublish>(Decision.Action_)), 1, Reply);
}

void AdminPublisher::publish(AdminPublish Publish, std::uint32_t Attempt,
                             const HttpReplyPtr &Reply) {
  ChangeRecord Change = Publish.Change_;
  const bool IsUnchanged = Publish.IsUnchanged_;
  const auto OnEnded = [this, Publish = std::move(Publish), Attempt,
                        Reply](const PublishEnded &End) {
    onEnded(Publish, End, Attempt, Reply);
  };
  if (IsUnchanged)
    Config_.confirm(std::move(Change), OnEnded);
  else
    Config_.publish(std::move(Change), OnEnded);
}

void AdminPublisher::onEnded(const AdminPublish &Publish,
                             const PublishEnded &End, std::uint32_t Attempt,
                             const HttpReplyPtr &Reply) {
  const bool IsRepeated = Publish.Edit_ && Attempt < MaxAttempts &&
                          End.Outcome_ == PublishOutcome::RefusedStale;
  if (IsRepeated) {
    AdminResult Next = applyCordonEdit(*Publish.Edit_, Config_.view());
    if (Next.Event_)
      Log_.write(*Next.Event_);
    if (auto *Response = std::get_if<HttpResponse>(&Next.Action_))
      return Reply->send(std::move(*Response));
    return publish(std::move(std::get<AdminPublish>(Next.Action_)), Attempt + 1,
                   Reply);
  }
  Log_.write(makePublishEvent(End, Publish.IsUnchanged_));
  Reply->send(makePublishResponse(End, Publish.IsUnchanged_));
}

} // namespace chivelanding
