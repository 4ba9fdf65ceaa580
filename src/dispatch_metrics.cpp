#include "dispatch_metrics.h"

#include "durations.h"

namespace chivelanding {

// Refusals are only counted: they are answered at once, so that a flood of them
// would hide late jobs in the histograms.
void countAnswer(Metrics &M, const AnswerJob &A, const AnsweredRequest &R) {
  M.count("chivelanding_jobs_total", "Answers by route and reason.",
          {{"route", R.Route_},
           {"outcome", jobEndingName(A.Ending_)},
           {"reason", A.Code_}});
  if (A.Ending_ == JobEnding::Refused)
    return;
  M.observe("chivelanding_job_seconds", "Time from the request to its answer.",
            seconds(R.Latency_), {{"route", R.Route_}});
  if (R.Objective_ > Duration(0))
    M.observeRatio("chivelanding_job_over_objective",
                   "Time to the answer over the route's objective.",
                   seconds(R.Latency_) / seconds(R.Objective_),
                   {{"route", R.Route_}});
}

void setDispatchMetrics(Metrics &M, const Dispatcher &D, Time Now) {
  std::map<std::string, double> ReportAges;
  double Free = 0;
  double Known = 0;
  double Running = 0;
  for (const auto &[Peer, A] : D.agents().all()) {
    Running += A.OutstandingRuns_;
    if (A.Standby_)
      continue;
    ReportAges[Peer.Name_] = seconds(Now - A.ReportedAt_);
    if (A.isOpen())
      Known += A.Report_.Capacity_.Cpu_;
    Free += AgentPool::freeResources(A).Cpu_;
  }
  M.set("chivelanding_jobs", "Jobs that have no answer yet.",
        static_cast<double>(D.jobs()));
  M.set("chivelanding_waiting_jobs", "Jobs with a task that waits.",
        static_cast<double>(D.waiting()));
  M.set("chivelanding_agents", "Agents linked to this entry.",
        static_cast<double>(D.agents().all().size()));
  M.set("chivelanding_agents_in_use", "Agents that get runs of this entry.",
        static_cast<double>(ReportAges.size()));
  M.setEach("chivelanding_report_age_seconds",
            "Age of the last report of each agent in use.", "agent",
            ReportAges);
  M.set("chivelanding_known_cpu",
        "Thousandths of a core of the usable endpoints in use.", Known);
  M.set("chivelanding_free_cpu",
        "The part of it that is free, less orders on their way.", Free);
  M.set("chivelanding_runs_ordered", "Runs of this entry that have not ended.",
        Running);
}

void setCordonMetrics(Metrics &M, const CordonSettings &S,
                      const ZoneCordons &Current, const AgentPool &Agents) {
  if (!S.enabled())
    return;
  M.set("chivelanding_cordoned_agents", "Agents whose zone is cordoned.",
        static_cast<double>(Agents.cordoned()));
  M.set("chivelanding_cordon_revision",
        "Revision of the set of cordoned zones; 0 if none is known.",
        static_cast<double>(Current.Revision_));
  M.set("chivelanding_cordoned_zones", "Zones in which no run may start.",
        static_cast<double>(Current.Zones_.size()));
  M.set("chivelanding_cordon_apply_within_seconds",
        "Time from the settings within which a cordon is in force everywhere.",
        seconds(S.ApplyWithin_));
}

} // namespace chivelanding
