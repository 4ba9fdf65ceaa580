#include "dispatcher.h"

namespace chivelanding {

// The tasks of a job take far more memory than the request that submits it.
std::uint64_t Dispatcher::jobBytes(const Job &J) {
  return sizeof(Job) + J.Tasks_.size() * sizeof(Task) +
         J.Spec_.Payload_.size() + J.Spec_.Rack_.str().size();
}

// Answers a crowd of jobs that wait for room. Refusing each new job instead
// would keep out the ordinary callers, whose jobs are small and have short
// timeouts. For the limit of bytes, the largest job makes room. For that of
// their number, it is the job whose caller waits longest and so can best return
// later.
Dispatcher::Job *Dispatcher::findJobToShed() {
  const bool TooMany = Jobs_.size() > Limits_.MaxJobs_;
  Job *Found = nullptr;
  for (auto &[Number, J] : Jobs_) {
    if (J.OutstandingRuns_ > 0 || J.DoneTasks_ > 0 || J.MayHaveRun_)
      continue;
    if (!Found ||
        (TooMany ? J.Deadline_ > Found->Deadline_ : J.Bytes_ > Found->Bytes_))
      Found = &J;
  }
  return Found;
}

void Dispatcher::shedJobs(Time Now) {
  while (Jobs_.size() > Limits_.MaxJobs_ || JobBytes_ > Limits_.MaxJobBytes_) {
    Job *J = findJobToShed();
    if (!J)
      return;
    refuse(*J,
           Jobs_.size() > Limits_.MaxJobs_ ? "too_many_jobs" : "too_many_bytes",
           Now);
  }
}

} // namespace chivelanding
