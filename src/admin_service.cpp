#include "admin_service.h"

namespace chivelanding {

void AdminService::onRequest(const HttpRequest &Request,
                             const HttpReplyPtr &Reply) {
  AdminResult Result = handleAdmin(Request, Config_.view(), newChangeId());
  if (Result.Event_)
    Log_.write(*Result.Event_);
  if (auto *Response = std::get_if<HttpResponse>(&Result.Action_)) {
    Reply->send(std::move(*Response));
    return;
  }
  Config_.publish(std::move(std::get<AdminPublish>(Result.Action_).Change_),
                  [this, Reply](const PublishEnded &End) {
                    Log_.write(publishEndedEvent(End));
                    Reply->send(renderPublishEnded(End));
                  });
}

} // namespace chivelanding
