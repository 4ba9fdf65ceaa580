#ifndef CHIVELANDING_FAIR_SHARE_H
#define CHIVELANDING_FAIR_SHARE_H

#include "message.h"
#include "policy_config.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelanding {

/// Number of a job at one scheduler, reused after the job is released.
using JobSlot = std::uint32_t;

/// The next job to serve, and the reason.
struct NextJob {
  JobSlot Job_ = 0;
  std::string Reason_;
};

/// Order of waiting jobs: kinds by guaranteed share and priority class, fair
/// queueing of the teams within a kind, and the limits of teams, kinds and
/// services. Keeps counts of tasks only; the caller stores the jobs.
class FairShare {
public:
  void setConfig(const PolicyConfig &Config);
  /// Replaces the usage at another entry; an empty summary removes it.
  void onUsage(const EntryId &Entry, const UsageSummary &Usage);

  /// Return the number of a kind or team for the other functions, and add it if
  /// it is new. A kind belongs to one service.
  std::uint32_t kindNumber(const ServiceName &Service, const KindName &Kind);
  std::optional<std::uint32_t> findKind(const ServiceName &Service,
                                        const KindName &Kind) const;
  std::uint32_t teamNumber(const TeamName &Team);

  /// Adds a job to the queue, before onWaiting() adds its tasks.
  void addJob(JobSlot Job, std::uint32_t Kind, std::uint32_t Team,
              PriorityClass Class);
  /// Returns a job to the queue that has waiting tasks again; it keeps its
  /// place.
  void restoreJob(JobSlot Job);
  /// Removes a job from the queue that has no more waiting tasks.
  void removeJob(JobSlot Job);
  /// Adds Change to the number of waiting tasks of a job.
  void onWaiting(JobSlot Job, std::int64_t Change);

  /// Returns the next job to serve among the services for which HasCapacity is
  /// true, or nothing.
  std::optional<NextJob>
  next(const std::function<bool(const ServiceName &)> &HasCapacity, Time Now);
  /// A task of the job returned by next() was sent.
  void onStarted(JobSlot Job, Time Now);
  /// A task that was sent has ended, was rejected or is lost.
  void onEnded(JobSlot Job, Time Now);

  std::uint32_t kindWaiting(std::uint32_t Kind) const {
    return Kinds_[Kind].Waiting_;
  }
  /// Fraction of the fleet that the kind is guaranteed.
  double share(std::uint32_t Kind) const;
  std::uint32_t entryCount() const {
    return static_cast<std::uint32_t>(OtherEntries_.size()) + 1;
  }
  /// Running and waiting tasks per team, for the other entries.
  UsageSummary usage() const;

private:
  using QueuePosition = std::pair<double, JobSlot>;
  struct TeamQueue {
    std::set<QueuePosition> Jobs_;
    double VirtualFinish_ = 0;
  };
  struct Kind {
    ServiceName Service_;
    KindName Name_;
    KindPolicy Policy_;
    PriorityClass Class_;
    std::uint32_t ServiceLimit_ = 0;
    std::uint32_t Running_ = 0;
    std::uint32_t Waiting_ = 0;
    /// Exponential average of Running_ with the time constant
    /// ShareTimeConstantUs.
    double Average_ = 0;
    Time AveragedAt_;
    double VirtualTime_ = 0;
    std::map<std::uint32_t, TeamQueue> Teams_;
    /// First job of each team that may start tasks.
    std::set<std::pair<QueuePosition, std::uint32_t>> Ready_;
  };
  struct Team {
    TeamName Name_;
    TeamPolicy Policy_;
    std::uint32_t Running_ = 0;
    std::uint32_t Waiting_ = 0;
    std::uint32_t OthersRunning_ = 0;
    std::uint32_t OtherEntriesWaiting_ = 0;
    double Tokens_ = 0;
    Time FilledAt_;
    bool Blocked_ = false;
    std::set<std::uint32_t> Kinds_;
  };
  struct Job {
    std::uint32_t Kind_ = 0;
    std::uint32_t Team_ = 0;
    double VirtualStart_ = 0;
    bool Queued_ = false;
  };

  void applyPolicy(Kind &K) const;
  void applyPolicy(Team &T) const;
  void setReady(std::uint32_t Kind, std::uint32_t Team, bool Ready);
  void insert(JobSlot Slot);
  bool mayStart(Team &T, Time Now) const;
  void block(std::uint32_t Team);
  void unblock(std::uint32_t Team);
  void unblockRateLimited(Time Now);
  bool withinLimits(const Kind &K) const;
  static void updateAverage(Kind &K, Time Now);
  double averageRunning(const ServiceName &Service, Time Now);

  PolicyConfig Config_;
  double WeightSum_ = 0;
  std::vector<Kind> Kinds_;
  std::map<std::pair<ServiceName, KindName>, std::uint32_t> KindNumbers_;
  std::set<std::uint32_t> ActiveKinds_;
  std::map<ServiceName, std::uint32_t> ServiceRunning_;
  std::vector<Team> Teams_;
  std::map<TeamName, std::uint32_t> TeamNumbers_;
  /// Blocked teams with a rate limit, which wait for tokens.
  std::set<std::uint32_t> RateLimitedTeams_;
  Time NextRateCheck_;
  std::vector<Job> Jobs_;
  std::map<EntryId, UsageSummary> OtherEntries_;
};

} // namespace chivelanding

#endif
