#include "dispatch_entry_impl.h"

#include "clock.h"
#include "dispatch_metrics.h"

namespace chivelanding {

void DispatchEntry::Impl::onRequest(HttpRequest &&Request,
                                    const HttpReplyPtr &Reply) {
  const Time Now = steadyNow();
  onPause(Pauses_.onTurn(Now), Now);
  const bool SenderGone = Request.SenderGone_;
  CallerRequest Decoded =
      Ports_.Callers_->decode(std::move(Request), Config_.current());
  if (auto *Submit = std::get_if<SubmitRequest>(&Decoded)) {
    if (SenderGone || !Cordons_.mayStartRuns()) {
      refuseSubmission(Submit->Job_.Key_,
                       SenderGone ? "caller_gone" : "cordons_unknown", Reply);
      return;
    }
    Submit->Job_.Age_ = Pauses_.maxRequestAge(Now);
    onSubmit(std::move(*Submit), Reply, Now);
  } else if (const auto *Cancel = std::get_if<CancelRequest>(&Decoded)) {
    onCancel(*Cancel, Reply);
  } else if (const auto *State = std::get_if<StateRequest>(&Decoded)) {
    bool IsRunning = false;
    const bool IsActive = Dispatcher_.find(State->Job_, IsRunning);
    Reply->send(Ports_.Callers_->state(IsActive, IsRunning));
  } else if (const auto *Queue = std::get_if<WaitingRequest>(&Decoded)) {
    Reply->send(Ports_.Callers_->waiting(Dispatcher_.waiting(Queue->Route_)));
  } else {
    auto &Refused = std::get<RefusedRequest>(Decoded);
    Log_.write(events::RequestRefused,
               {{"code", Refused.Reason_.Code_},
                {"step", Refused.Reason_.Step_},
                {"detail", Refused.Reason_.Detail_},
                {"status", std::to_string(Refused.Response_.Status_)},
                {"version", std::to_string(Config_.version().value())}});
    Reply->send(std::move(Refused.Response_));
  }
}

// Answers that a job has not run, without submitting it to the dispatcher.
void DispatchEntry::Impl::refuseSubmission(const JobKey &Job, const char *Code,
                                           const HttpReplyPtr &Reply) {
  Log_.write(events::JobRefused, {{"job", Job.str()}, {"code", Code}});
  Reply->send(Ports_.Callers_->answer({JobNumber(), JobEnding::Refused, Code,
                                       Duration(std::chrono::seconds(1))}));
}

// A job that could not be finished before the end of the drain is refused
// before any of its tasks runs.
void DispatchEntry::Impl::onSubmit(SubmitRequest Request,
                                   const HttpReplyPtr &Reply, Time Now) {
  if (Drain_ && !Drain_->mayAcceptJob(Request.Job_.Estimate_, Now)) {
    refuseSubmission(Request.Job_.Key_, "draining", Reply);
    return;
  }
  const IdempotentJob &Job = Request.Job_;
  WaitingCaller Caller{Reply, Now, Job.Route_.Name_,
                       Job.objective(Job.Estimate_)};
  // The dispatcher limits what its jobs hold.
  Reply->retain(0);
  const JobNumber Number = Dispatcher_.submit(std::move(Request.Job_), Now);
  WaitingCallers_.add(Number, std::move(Caller));
  apply();
  limitCallers(Now);
  if (!WaitingCallers_.of(Number).empty())
    Reply->onDisconnect([Self = shared_from_this(), Number, Raw = Reply.get()] {
      Self->onCallerDisconnected(Number, Raw, Self->beginEvent());
    });
}

void DispatchEntry::Impl::onCallerDisconnected(JobNumber Job,
                                               const HttpReply *Reply,
                                               Time Now) {
  if (Stopped_ || !WaitingCallers_.remove(Job, Reply))
    return;
  Dispatcher_.cancel(Job, "caller_gone", Now);
  apply();
}

// Jobs may keep only a part of the callers' connections, and a job that was
// submitted often no more than its part. Status 504 says that the job may run.
void DispatchEntry::Impl::limitCallers(Time Now) {
  while (WaitingCallers_.size() > Resources_.Jobs_) {
    JobNumber Job;
    const auto Surplus = WaitingCallers_.takeRepeated(Job);
    if (Surplus.empty())
      return;
    sendAnswer({Job, JobEnding::Unknown, "submitted_again", {}}, Surplus, Now);
  }
}

// The job may be active at another entry, which the caller cannot know, so the
// cancellation is forwarded to all connected entries.
void DispatchEntry::Impl::onCancel(const CancelRequest &Request,
                                   const HttpReplyPtr &Reply) {
  const bool WasActive = Dispatcher_.cancelByKey(Request.Job_, steadyNow());
  apply();
  if (!WasActive)
    for (const PeerId &Peer : ConnectedEntries_)
      Hub_.send(Peer, CancelJob{Request.Job_});
  Reply->send(Ports_.Callers_->cancelled(WasActive));
}

void DispatchEntry::Impl::onAnswer(const AnswerJob &A) {
  sendAnswer(A, WaitingCallers_.take(A.Job_), steadyNow());
}

void DispatchEntry::Impl::sendAnswer(const AnswerJob &A,
                                     const std::vector<WaitingCaller> &Callers,
                                     Time Now) {
  for (const WaitingCaller &W : Callers) {
    W.Reply_->send(Ports_.Callers_->answer(A));
    countAnswer(Metrics_, A, {W.Route_, Now - W.Received_, W.Objective_});
  }
}

void DispatchEntry::Impl::checkCallers(JobNumber Job, Time Now) {
  std::vector<const HttpReply *> Gone;
  for (const WaitingCaller &C : WaitingCallers_.of(Job))
    if (C.Reply_->callerGone())
      Gone.push_back(C.Reply_.get());
  for (const HttpReply *Reply : Gone)
    onCallerDisconnected(Job, Reply, Now);
}

void DispatchEntry::Impl::checkAllCallers(Time Now) {
  for (const JobNumber Job : WaitingCallers_.jobs())
    checkCallers(Job, Now);
}

} // namespace chivelanding
