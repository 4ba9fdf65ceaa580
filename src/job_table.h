#ifndef CHIVELANDING_JOB_TABLE_H
#define CHIVELANDING_JOB_TABLE_H

#include "job_record.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace chivelanding {

/// The jobs of one owner with their indices. Of answered jobs, results are kept
/// up to a limit in bytes, and records until a resubmission can no longer be
/// mistaken for a new job.
class JobTable {
public:
  /// Records of adopted jobs are kept for AdoptedRetention after the answer,
  /// because the epoch in their token is that of another entry.
  JobTable(std::uint64_t MaxResultBytes, Duration AdoptedRetention)
      : MaxResultBytes_(MaxResultBytes), AdoptedRetention_(AdoptedRetention) {}

  OwnedJob *find(const JobId &Id);
  bool contains(const JobId &Id) const { return Jobs_.count(Id) != 0; }
  OwnedJob &byNumber(std::uint64_t Number) { return *ByNumber_.at(Number); }
  std::vector<OwnedJob *> open();

  OwnedJob &add(JobSpec Spec, bool Adopted, Time Now);
  void addReply(OwnedJob &J, ReplyId Reply);
  void removeReply(ReplyId Reply);
  /// Stores the answer, frees what only an open job needs, and returns the
  /// replies that wait for the answer.
  std::vector<ReplyId> close(OwnedJob &J, JobAnswer Answer, Time Now);
  void drop(OwnedJob &J);
  /// Drops expired records: answered own jobs of epochs before Accepted, and
  /// adopted jobs whose retention has ended. Returns the oldest epoch that has
  /// records of own jobs or is accepted.
  Epoch dropExpired(Epoch Accepted, Time Now);

  std::size_t openJobs() const { return OpenJobs_; }
  std::size_t records() const { return Jobs_.size(); }
  /// Memory of the jobs without an answer, approximately.
  std::uint64_t openBytes() const { return OpenBytes_; }
  std::uint64_t retainedBytes() const { return RetainedBytes_; }

private:
  void retain(OwnedJob &J);
  void release(OwnedJob &J);

  std::uint64_t MaxResultBytes_;
  Duration AdoptedRetention_;
  std::unordered_map<JobId, OwnedJob> Jobs_;
  std::map<std::uint64_t, OwnedJob *> ByNumber_;
  std::map<ReplyId, OwnedJob *> ByReply_;
  /// Numbers of own jobs by the epoch of their token.
  std::map<Epoch, std::vector<std::uint64_t>> ByEpoch_;
  /// Numbers of answered adopted jobs by the time at which they are dropped.
  std::multimap<Time, std::uint64_t> AdoptedExpiry_;
  /// Answered jobs whose results are kept, in the order of their answers.
  std::map<std::uint64_t, OwnedJob *> Retained_;
  std::uint64_t RetainedBytes_ = 0;
  std::uint64_t NextNumber_ = 1;
  std::uint64_t NextRetainedOrder_ = 1;
  std::size_t OpenJobs_ = 0;
  std::uint64_t OpenBytes_ = 0;
};

} // namespace chivelanding

#endif
