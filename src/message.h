#ifndef CHIVELANDING_MESSAGE_H
#define CHIVELANDING_MESSAGE_H

#include "job.h"
#include "result.h"
#include "run_message.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace chivelanding {

/// Version of the protocol between entries and agents. A peer with another
/// version is refused.
constexpr std::uint32_t ProtocolVersion = 3;

/// Attributes of the endpoint beside an agent. As in every message, fields()
/// lists the members in wire order; the codec is generated from it.
struct EndpointInfo {
  std::string EndpointName_;
  ServiceName Service_;
  ZoneName Zone_;
  RackName Rack_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;
  std::uint32_t Cores_ = 0;
  std::uint64_t MemoryBytes_ = 0;
  bool Leaving_ = false;

  static constexpr auto fields() {
    return std::make_tuple(
        &EndpointInfo::EndpointName_, &EndpointInfo::Service_,
        &EndpointInfo::Zone_, &EndpointInfo::Rack_, &EndpointInfo::Slots_,
        &EndpointInfo::Connections_, &EndpointInfo::Cores_,
        &EndpointInfo::MemoryBytes_, &EndpointInfo::Leaving_);
  }
};

/// Agent to entry: the endpoint's attributes, sent on each change.
struct AnnounceEndpoint {
  EndpointInfo Info_;
  static constexpr auto fields() {
    return std::make_tuple(&AnnounceEndpoint::Info_);
  }
};

/// One task in StartTasks.
struct TaskStart {
  TaskIndex Index_;
  std::string Payload_;
  /// Number of this start among the sender's starts of the task, from 1. It
  /// distinguishes a late copy of a rejected start from a new start.
  std::uint32_t Attempt_ = 1;
  static constexpr auto fields() {
    return std::make_tuple(&TaskStart::Index_, &TaskStart::Payload_,
                           &TaskStart::Attempt_);
  }
};

/// Entry to agent: start these tasks of one job. The sender must be the job's
/// owner or hold the agent's grant to resume the owner's jobs.
struct StartTasks {
  JobId Job_;
  KindName Kind_;
  PriorityClass Class_;
  /// Time from receipt after which no task may start.
  std::optional<Duration> Deadline_;
  std::vector<TaskStart> Tasks_;
  static constexpr auto fields() {
    return std::make_tuple(&StartTasks::Job_, &StartTasks::Kind_,
                           &StartTasks::Class_, &StartTasks::Deadline_,
                           &StartTasks::Tasks_);
  }
};

/// Why an agent did not start a task.
enum class RejectReason : std::uint8_t {
  NoRoom,
  Leaving,
  Closed,
  NotOwner,
  Deadline,
  Cancelled,
  NoEndpoint
};

/// Stable text of a reason in logs and answers.
const char *rejectReasonName(RejectReason R);

/// Agent to entry: these tasks did not start here and never will under this
/// attempt; the agent refuses late copies of the same start.
struct TasksRejected {
  JobId Job_;
  std::vector<TaskIndex> Tasks_;
  RejectReason Reason_ = RejectReason::NoRoom;
  std::uint32_t Attempt_ = 1;
  static constexpr auto fields() {
    return std::make_tuple(&TasksRejected::Job_, &TasksRejected::Tasks_,
                           &TasksRejected::Reason_, &TasksRejected::Attempt_);
  }
};

/// How a started task ended.
enum class RunOutcome : std::uint8_t { Success, Failure, Stopped };

/// Agent to entry: a started task has ended. Result_ is the endpoint's response
/// body, or the error text if Outcome_ is not Success.
struct TaskFinished {
  JobId Job_;
  TaskIndex Index_;
  RunOutcome Outcome_ = RunOutcome::Failure;
  std::string Result_;
  /// Time from start to end at the endpoint.
  Duration RunTime_{0};
  static constexpr auto fields() {
    return std::make_tuple(&TaskFinished::Job_, &TaskFinished::Index_,
                           &TaskFinished::Outcome_, &TaskFinished::Result_,
                           &TaskFinished::RunTime_);
  }
};

/// Entry to agent: do not start these tasks, and stop those that run. An empty
/// list means all tasks of the job.
struct CancelTasks {
  JobId Job_;
  std::vector<TaskIndex> Tasks_;
  static constexpr auto fields() {
    return std::make_tuple(&CancelTasks::Job_, &CancelTasks::Tasks_);
  }
};

/// Entry to agent: the owner has answered the job. The agent may delete its
/// results, and refuses further starts of it until the owner is lost or closed.
struct JobEnded {
  JobId Job_;
  static constexpr auto fields() { return std::make_tuple(&JobEnded::Job_); }
};

/// Agent to entry: free capacity of the agent. Credit_ is the number of starts
/// that this entry may send beyond the StartsSeen_ tasks that the agent has
/// received from it so far.
struct AgentReport {
  std::uint32_t FreeSlots_ = 0;
  std::uint32_t QueueLength_ = 0;
  std::uint32_t Credit_ = 0;
  std::uint64_t StartsSeen_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&AgentReport::FreeSlots_, &AgentReport::QueueLength_,
                           &AgentReport::Credit_, &AgentReport::StartsSeen_);
  }
};

/// Waiting tasks of one priority class at an entry.
struct ClassDemand {
  PriorityClass Class_;
  std::uint32_t Waiting_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&ClassDemand::Class_, &ClassDemand::Waiting_);
  }
};

/// Entry to agent: tasks waiting at the entry for the agent's service.
struct Demand {
  std::vector<ClassDemand> Classes_;
  static constexpr auto fields() { return std::make_tuple(&Demand::Classes_); }
};

/// Entry to agent: close this entry incarnation permanently and grant the
/// sender the right to resume its jobs.
struct CloseIncarnation {
  EntryId Entry_;
  static constexpr auto fields() {
    return std::make_tuple(&CloseIncarnation::Entry_);
  }
};

/// An agent's record of a started task of a closed incarnation's job.
struct HeldTask {
  TaskIndex Index_;
  bool Finished_ = false;
  RunOutcome Outcome_ = RunOutcome::Failure;
  std::string Result_;
  /// True if the result was evicted to keep the agent's results within their
  /// limit.
  bool Evicted_ = false;
  static constexpr auto fields() {
    return std::make_tuple(&HeldTask::Index_, &HeldTask::Finished_,
                           &HeldTask::Outcome_, &HeldTask::Result_,
                           &HeldTask::Evicted_);
  }
};

/// Records that an agent has of the started tasks of one job.
struct HeldJob {
  JobId Job_;
  std::vector<HeldTask> Tasks_;
  /// The owner has answered the job; its task records and results are deleted.
  bool Ended_ = false;
  static constexpr auto fields() {
    return std::make_tuple(&HeldJob::Job_, &HeldJob::Tasks_, &HeldJob::Ended_);
  }
};

/// Agent to entry: the incarnation is closed here. Holder_ has the grant to
/// resume its jobs; Jobs_ is filled only if Holder_ is the receiver. Complete_
/// is false if records of the incarnation's jobs have expired since the agent
/// lost the entry, so that Jobs_ may lack some. The records may be split over
/// several messages; Last_ marks the last one.
struct IncarnationClosed {
  EntryId Entry_;
  EntryId Holder_;
  bool Complete_ = true;
  std::vector<HeldJob> Jobs_;
  /// Records of jobs of earlier token epochs are deleted.
  Epoch Oldest_{};
  bool Last_ = true;
  static constexpr auto fields() {
    return std::make_tuple(
        &IncarnationClosed::Entry_, &IncarnationClosed::Holder_,
        &IncarnationClosed::Complete_, &IncarnationClosed::Jobs_,
        &IncarnationClosed::Oldest_, &IncarnationClosed::Last_);
  }
};

/// Entry to agent: transfer the sender's grant for Entry_'s jobs to NewHolder_.
struct TransferGrant {
  EntryId Entry_;
  EntryId NewHolder_;
  static constexpr auto fields() {
    return std::make_tuple(&TransferGrant::Entry_, &TransferGrant::NewHolder_);
  }
};

/// Agent to entry: the receiver's own incarnation has been closed at the
/// request of Holder_.
struct YouAreClosed {
  EntryId Holder_;
  static constexpr auto fields() {
    return std::make_tuple(&YouAreClosed::Holder_);
  }
};

/// Agent to entry, at the start of a session and on each change: the entry
/// incarnations that are reachable from the agent.
struct EntriesHeard {
  std::vector<EntryId> Entries_;
  static constexpr auto fields() {
    return std::make_tuple(&EntriesHeard::Entries_);
  }
};

/// Entry to entry: the sender intends to start tasks at this agent incarnation.
struct AgentAnnounced {
  AgentId Agent_;
  ServiceName Service_;
  static constexpr auto fields() {
    return std::make_tuple(&AgentAnnounced::Agent_, &AgentAnnounced::Service_);
  }
};

/// Entry to entry: the announced agent has been recorded.
struct AgentAnnouncedAck {
  AgentId Agent_;
  static constexpr auto fields() {
    return std::make_tuple(&AgentAnnouncedAck::Agent_);
  }
};

/// Network address of an entry's listener for peers.
struct EntryAddress {
  EntryId Entry_;
  RegionName Region_;
  std::string Host_;
  std::uint16_t Port_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&EntryAddress::Entry_, &EntryAddress::Region_,
                           &EntryAddress::Host_, &EntryAddress::Port_);
  }
};

/// Entry to entry and entry to agent: addresses of running entries, that is, of
/// the sender and of entries it is connected to. An update lists only those
/// added.
struct KnownEntries {
  std::vector<EntryAddress> Entries_;
  static constexpr auto fields() {
    return std::make_tuple(&KnownEntries::Entries_);
  }
};

/// Entry to entry: a submission forwarded to the owner of the job, which is the
/// receiver. RelayId_ is the sender's number that the answer repeats.
struct RelaySubmit {
  std::uint64_t RelayId_ = 0;
  JobSpec Spec_;
  static constexpr auto fields() {
    return std::make_tuple(&RelaySubmit::RelayId_, &RelaySubmit::Spec_);
  }
};

/// Entry to entry: the complete answer to a forwarded submission.
struct RelayAnswer {
  std::uint64_t RelayId_ = 0;
  JobAnswer Answer_;
  static constexpr auto fields() {
    return std::make_tuple(&RelayAnswer::RelayId_, &RelayAnswer::Answer_);
  }
};

/// Entry to entry: cancel a job that the receiver owns.
struct RelayCancel {
  JobId Job_;
  static constexpr auto fields() { return std::make_tuple(&RelayCancel::Job_); }
};

/// Any to any, with heartbeats: accepted configuration version and hash.
struct ConfigDigest {
  ConfigVersion Version_;
  std::uint64_t Hash_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&ConfigDigest::Version_, &ConfigDigest::Hash_);
  }
};

/// Any to any: send the configuration if it is newer than this version.
struct ConfigRequest {
  ConfigVersion Have_;
  static constexpr auto fields() {
    return std::make_tuple(&ConfigRequest::Have_);
  }
};

/// Any to any: a complete accepted configuration.
struct ConfigState {
  ConfigVersion Version_;
  std::string Toml_;
  static constexpr auto fields() {
    return std::make_tuple(&ConfigState::Version_, &ConfigState::Toml_);
  }
};

/// Any to any: the objects in which an accepted configuration differs from
/// version Base_. Removed_ lists "TYPE NAME"; Hash_ is that of the result.
struct ConfigDelta {
  ConfigVersion Base_;
  ConfigVersion Version_;
  std::uint64_t Hash_ = 0;
  std::string Toml_;
  std::vector<std::string> Removed_;
  static constexpr auto fields() {
    return std::make_tuple(&ConfigDelta::Base_, &ConfigDelta::Version_,
                           &ConfigDelta::Hash_, &ConfigDelta::Toml_,
                           &ConfigDelta::Removed_);
  }
};

/// Running and waiting tasks of one team at the sender.
struct TeamUsage {
  TeamName Team_;
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&TeamUsage::Team_, &TeamUsage::Running_,
                           &TeamUsage::Waiting_);
  }
};

/// Entry to entry: usage per team, for quotas that several entries share.
struct UsageSummary {
  std::vector<TeamUsage> Teams_;
  static constexpr auto fields() {
    return std::make_tuple(&UsageSummary::Teams_);
  }
};

/// Entry to agent: all of the sender's jobs of token epochs before Oldest_ are
/// answered, and no new key is accepted in these epochs. The agent may delete
/// its records of such jobs and refuses late starts of them.
struct EpochsExpired {
  Epoch Oldest_{};
  static constexpr auto fields() {
    return std::make_tuple(&EpochsExpired::Oldest_);
  }
};

/// Entry to entry: the receiver has acknowledged every agent that the sender
/// uses. The sender uses no further agent without the receiver's
/// acknowledgement until one of these agents confirms that it closed the
/// receiver's incarnation.
struct AgentsSynchronized {
  static constexpr auto fields() { return std::make_tuple(); }
};

/// Entry to agent: no task of these jobs has started, and none may ever start.
/// The agent records the jobs as ended and confirms. From then on no recovering
/// entry can treat them as not started and run them, so the sender may answer
/// "not run".
struct WithdrawJobs {
  std::vector<JobId> Jobs_;
  static constexpr auto fields() {
    return std::make_tuple(&WithdrawJobs::Jobs_);
  }
};

/// Agent to entry: Jobs_ are recorded as ended. Refused_ are not, because a
/// task has started here or another entry holds the grant.
struct JobsWithdrawn {
  std::vector<JobId> Jobs_;
  std::vector<JobId> Refused_{};
  static constexpr auto fields() {
    return std::make_tuple(&JobsWithdrawn::Jobs_, &JobsWithdrawn::Refused_);
  }
};

/// Every message that `link` numbers and delivers in order, exactly once per
/// session. The position in the list is the type number on the wire, so new
/// messages are appended.
using Message =
    std::variant<AnnounceEndpoint, StartTasks, TasksRejected, TaskFinished,
                 CancelTasks, JobEnded, AgentReport, Demand, CloseIncarnation,
                 IncarnationClosed, TransferGrant, YouAreClosed, EntriesHeard,
                 AgentAnnounced, AgentAnnouncedAck, KnownEntries, RelaySubmit,
                 RelayAnswer, RelayCancel, ConfigDigest, ConfigRequest,
                 ConfigState, UsageSummary, EpochsExpired, AgentsSynchronized,
                 ConfigDelta, WithdrawJobs, JobsWithdrawn, StartRuns, StopRuns,
                 HoldRuns, RunsEnded, SlowRuns, EndpointReport, ConfigText,
                 CancelJob, SetStandby, EndpointCrashed, EndpointAlive,
                 SuspectCleared, RouteConfined, ZoneCordons>;

/// Name of the message's type for logs.
const char *messageName(const Message &M);

enum class Role : std::uint8_t { Entry, Agent };

/// Opens a connection in three steps: the dialling side identifies itself (with
/// Peer_ and Session_ 0), the dialled side answers with its state of the pair,
/// and the dialling side confirms with its own state. LastReceived_ is the
/// highest number received from Peer_ in session Session_. In the answer, a
/// Peer_ other than the dialling incarnation means that Peer_ has superseded
/// it.
struct Hello {
  std::uint32_t Protocol_ = ProtocolVersion;
  Role Role_ = Role::Entry;
  std::string Name_;
  Incarnation Incarnation_;
  ZoneName Zone_;
  RegionName Region_;
  std::string PeerName_;
  Incarnation Peer_;
  std::uint64_t LastReceived_ = 0;
  /// Number of the session between the two incarnations, from 1. A new session
  /// begins after the previous one has ended, with message numbers from 1.
  std::uint64_t Session_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&Hello::Protocol_, &Hello::Role_, &Hello::Name_,
                           &Hello::Incarnation_, &Hello::Zone_, &Hello::Region_,
                           &Hello::PeerName_, &Hello::Peer_,
                           &Hello::LastReceived_, &Hello::Session_);
  }
};

/// Sent on an idle connection, and after many received messages. Acknowledges
/// every number up to Acknowledged_.
struct Heartbeat {
  std::uint64_t Acknowledged_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&Heartbeat::Acknowledged_);
  }
};

/// Consecutively numbered messages; First_ is the number of the first. Also
/// acknowledges received messages, like Heartbeat.
struct Batch {
  std::uint64_t First_ = 0;
  std::uint64_t Acknowledged_ = 0;
  std::vector<Message> Messages_;
  /// Positions in Messages_ of messages that could not be decoded and may be
  /// left out, since they are sent again or are mere hints.
  std::set<std::size_t> Unreadable_;
};

using Frame = std::variant<Hello, Heartbeat, Batch>;

/// CBOR text of a frame.
std::string encodeFrame(const Frame &F);
/// Error codes: bad_frame (not CBOR, wrong types, unknown type number, nested
/// too deeply, more than MaxBytes bytes).
Result<Frame> decodeFrame(const std::string &Bytes, std::size_t MaxBytes);

} // namespace chivelanding

#endif
