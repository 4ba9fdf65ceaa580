#include "bench.h"
#include "job_owner.h"
#include "message.h"
#include "start_controller.h"

#include <chrono>

namespace chivelanding {
namespace {

constexpr std::uint32_t TasksPerJob = 100;
constexpr std::size_t PayloadBytes = 64;
constexpr std::size_t MaxFrame = 64u << 20;

JobId makeJobId(std::uint64_t N) {
  const EntryId Owner{"entry-1", Incarnation(0x123456789abcdefULL)};
  return {TeamName("team-1"),
          {Owner, Epoch(1)},
          JobKey("job-" + std::to_string(N))};
}

StartTasks makeStartTasks(std::uint32_t Tasks) {
  StartTasks Start;
  Start.Job_ = makeJobId(1);
  Start.Kind_ = KindName("kind-1");
  for (std::uint32_t I = 0; I < Tasks; ++I) {
    TaskStart Task;
    Task.Index_ = TaskIndex(I);
    Task.Payload_ = std::string(PayloadBytes, 'x');
    Start.Tasks_.push_back(std::move(Task));
  }
  return Start;
}

double frameBytes(std::vector<Message> Messages) {
  Batch B;
  B.First_ = 1'000'000;
  B.Acknowledged_ = 1'000'000;
  B.Messages_ = std::move(Messages);
  return static_cast<double>(encodeFrame(B).size());
}

// The difference between a message of one task and one of TasksPerJob tasks
// separates the bytes per task from those of the frame.
void printMessageSizes() {
  const double SingleTask = frameBytes({makeStartTasks(1)});
  const double ManyTasks = frameBytes({makeStartTasks(TasksPerJob)});
  printMetric("start_bytes_per_message", SingleTask, "B");
  printMetric("start_bytes_per_task",
              (ManyTasks - SingleTask) / (TasksPerJob - 1), "B");
  TaskFinished Finished;
  Finished.Job_ = makeJobId(1);
  Finished.Result_ = std::string(PayloadBytes, 'x');
  printMetric("finished_bytes", frameBytes({Finished}), "B");
  printMetric("report_bytes", frameBytes({AgentReport{}}), "B");
  printMetric("heartbeat_bytes",
              static_cast<double>(encodeFrame(Heartbeat{1000000}).size()), "B");
  printMetric("config_digest_bytes", frameBytes({ConfigDigest{}}), "B");
  UsageSummary Summary;
  for (int Team = 0; Team < 250; ++Team) {
    TeamUsage Usage;
    Usage.Team_ = TeamName("team-" + std::to_string(Team));
    Usage.Running_ = 1000;
    Usage.Waiting_ = 1000;
    Summary.Teams_.push_back(std::move(Usage));
  }
  printMetric("usage_summary_250_teams_bytes", frameBytes({Summary}), "B");
}

double toNanoseconds(std::chrono::steady_clock::duration D) {
  return std::chrono::duration<double, std::nano>(D).count();
}

// Times the codec on a message of one task, which is the most expensive per
// task.
void printCodecCost() {
  constexpr int Rounds = 20'000;
  Batch B;
  B.Messages_.push_back(makeStartTasks(1));
  const auto Begin = std::chrono::steady_clock::now();
  std::size_t Bytes = 0;
  for (int I = 0; I < Rounds; ++I)
    Bytes += encodeFrame(B).size();
  const auto Encoded = std::chrono::steady_clock::now();
  const std::string Frame = encodeFrame(B);
  for (int I = 0; I < Rounds; ++I)
    Bytes += ok(decodeFrame(Frame, MaxFrame)) ? 1 : 0;
  const auto Decoded = std::chrono::steady_clock::now();
  printMetric("encode_start", toNanoseconds(Encoded - Begin) / Rounds, "ns");
  printMetric("decode_start", toNanoseconds(Decoded - Encoded) / Rounds, "ns");
  printMetric("codec_rounds_checked", static_cast<double>(Bytes > 0), "-");
}

// Memory of waiting tasks at an entry that has no agents.
void printOwnerMemory() {
  constexpr int Jobs = 200;
  const EntryId Self{"entry-1", Incarnation(0x123456789abcdefULL)};
  // The order "fifo" has no admission control, which would reject the jobs
  // because no agent can run them.
  PolicyConfig Policy;
  Policy.Order_ = "fifo";
  Scheduler Sched(Policy, 1, ZoneName());
  JobOwner Owner(Self, {}, Sched, Time{});
  const auto Before = allocatedBytes();
  for (int N = 0; N < Jobs; ++N) {
    JobSpec Spec;
    Spec.Id_ = makeJobId(N);
    Spec.Id_.Token_ = Owner.token(Time{});
    Spec.Service_ = ServiceName("service-1");
    Spec.Kind_ = KindName("kind-1");
    for (std::uint32_t I = 0; I < TasksPerJob; ++I)
      Spec.Tasks_.push_back(
          {"task-" + std::to_string(I), std::string(PayloadBytes, 'x'), {}});
    Owner.onSubmit(std::move(Spec), ReplyId(N), Time{});
  }
  const double UsedBytes = static_cast<double>(allocatedBytes() - Before);
  printMetric("owner_bytes_per_waiting_task", UsedBytes / Jobs / TasksPerJob,
              "B");
  printMetric("owner_bytes_per_1000_jobs_of_100", UsedBytes / Jobs * 1000, "B");
}

// Memory of the records that an agent keeps of ended jobs.
void printStartRecordMemory() {
  constexpr int Jobs = 1000;
  constexpr std::uint32_t TasksPerAgent = 4;
  const EntryId Entry{"entry-1", Incarnation(0x123456789abcdefULL)};
  StartController Controller({"agent-1", Incarnation(1)}, {});
  EndpointInfo Info;
  Info.Service_ = ServiceName("service-1");
  Info.Slots_ = 8;
  Controller.onEndpointAnnounced(Info, Time{});
  Controller.onEntryConnected(Entry, Time{});
  const auto Before = allocatedBytes();
  for (int N = 0; N < Jobs; ++N) {
    StartTasks Start = makeStartTasks(TasksPerAgent);
    Start.Job_ = makeJobId(N);
    for (const StartControllerOutput &O :
         Controller.onMessage(Entry, Start, Time{}))
      if (const auto *Run = std::get_if<RunTask>(&O))
        Controller.onRunFinished(Run->Run_, RunOutcome::Success, "ok", {},
                                 Time{});
    Controller.onMessage(Entry, JobEnded{Start.Job_}, Time{});
  }
  const double UsedBytes = static_cast<double>(allocatedBytes() - Before);
  printMetric("gate_bytes_per_ended_job", UsedBytes / Jobs, "B");
}

} // namespace

int benchCapacity(std::uint64_t) {
  printMessageSizes();
  printCodecCost();
  printOwnerMemory();
  printStartRecordMemory();
  return ExitOk;
}

} // namespace chivelanding
