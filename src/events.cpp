#include "events.h"

#include <string_view>

namespace chivelanding {

namespace events {
const EventType ProcessStarted{100, "process_started", Severity::Info,
                               "The process has started with these settings."};
const EventType ProcessStopped{101, "process_stopped", Severity::Info,
                               "The process shuts down in an orderly way."};
const EventType SettingsRefused{102, "settings_refused", Severity::Error,
                                "The settings file is not valid."};
const EventType DrainStarted{103, "drain_started", Severity::Info,
                             "The process accepts no new work from now on."};
const EventType SettingsReloaded{104, "settings_reloaded", Severity::Info,
                                 "The settings file was read again."};
const EventType LogLinesDropped{105, "log_lines_dropped", Severity::Warning,
                                "Log lines were dropped because of the rate "
                                "limit or because nobody reads them."};
const EventType ProcessPaused{
    106, "process_paused", Severity::Warning,
    "The process had no processor time for a while, or its VM was suspended."};
const EventType ItemsSkipped{
    107, "items_skipped", Severity::Warning,
    "Malformed items of a list, or a field that is out of range, are left out; "
    "the others hold."};
const EventType ConnectionDropped{
    108, "connection_dropped", Severity::Warning,
    "A listener has refused a malformed request, or closed a connection at a "
    "time limit or to make room. No request of which this was said has run."};
const EventType LinkUp{200, "link_up", Severity::Info,
                       "A connection to a peer is established."};
const EventType LinkDown{201, "link_down", Severity::Info,
                         "A connection to a peer has ended."};
const EventType PeerSuspected{
    202, "peer_suspected", Severity::Warning,
    "No message has come from a peer within the suspicion time."};
const EventType PeerLost{203, "peer_lost", Severity::Warning,
                         "A peer incarnation is considered lost."};
const EventType FrameRefused{204, "frame_refused", Severity::Warning,
                             "A frame from a peer is malformed or unexpected."};
const EventType EndpointAnnounced{205, "endpoint_announced", Severity::Info,
                                  "An endpoint announced itself or changed."};
const EventType EndpointLeaving{206, "endpoint_leaving", Severity::Info,
                                "An endpoint accepts no new work."};
const EventType JobAccepted{300, "job_accepted", Severity::Info,
                            "A new job is owned by this entry."};
const EventType JobAttached{301, "job_attached", Severity::Info,
                            "A resubmission is attached to a known job."};
const EventType JobRelayed{302, "job_relayed", Severity::Info,
                           "A submission is relayed to the job's owner."};
const EventType JobRefused{303, "job_refused", Severity::Info,
                           "A submission is refused; nothing of it runs."};
const EventType JobAnswered{304, "job_answered", Severity::Info,
                            "The answer of a job is complete."};
const EventType JobCancelled{305, "job_cancelled", Severity::Info,
                             "A job is cancelled."};
const EventType TaskPlaced{400, "task_placed", Severity::Info,
                           "A task is sent to an agent."};
const EventType TaskRejected{401, "task_rejected", Severity::Info,
                             "An agent returned a task that did not start."};
const EventType TaskRetried{402, "task_retried", Severity::Info,
                            "An idempotent request is sent again."};
const EventType EndpointEjected{
    403, "endpoint_set_aside", Severity::Warning,
    "An endpoint is ejected: it receives less work or none."};
const EventType EndpointReinstated{404, "endpoint_reinstated", Severity::Info,
                                   "An endpoint receives work again."};
const EventType IncarnationClosing{
    500, "incarnation_closing", Severity::Warning,
    "The incarnation of a lost entry is being closed at the agents."};
const EventType IncarnationClosedByAgent{
    501, "incarnation_closed", Severity::Warning,
    "An agent has closed the incarnation of an entry."};
const EventType JobResumed{502, "job_resumed", Severity::Info,
                           "A job of a closed entry is resumed here."};
const EventType SelfClosed{503, "self_closed", Severity::Warning,
                           "This incarnation was closed or replaced; the "
                           "process stops or rejoins as a new one."};
const EventType ConfigAccepted{600, "config_accepted", Severity::Info,
                               "A configuration version is in force."};
const EventType ConfigRefused{601, "config_refused", Severity::Warning,
                              "A configuration change is refused."};
const EventType ConfigRecordSkipped{602, "config_record_skipped",
                                    Severity::Warning,
                                    "An invalid log record is skipped."};
const EventType LogUnavailable{603, "log_unavailable", Severity::Warning,
                               "The platform's log does not answer."};
const EventType LogAvailable{604, "log_available", Severity::Info,
                             "The platform's log answers again."};
const EventType AdminAction{605, "admin_action", Severity::Info,
                            "An operator's action, for the audit log."};
const EventType StoreUnavailable{
    606, "store_unavailable", Severity::Warning,
    "The platform's store does not answer or its answer is an error."};
const EventType StoreAvailable{607, "store_available", Severity::Info,
                               "The platform's store answers again."};
const EventType CordonsAdopted{
    608, "cordons_adopted", Severity::Info,
    "The set of cordoned zones of this revision is in force; no run starts in "
    "these zones."};
const EventType StoreBacklog{
    609, "store_backlog", Severity::Info,
    "An answer of the platform's store ends before the end of the stream; the "
    "records after it are read next."};
const EventType ZoneCordoned{620, "zone_cordoned", Severity::Warning,
                             "A configuration version cordons a zone: no task "
                             "starts there until it is lifted."};
const EventType ZoneCordonLifted{621, "zone_cordon_lifted", Severity::Info,
                                 "Tasks may start in the zone again."};
const EventType StartRefusedCordoned{
    622, "start_refused_cordoned", Severity::Info,
    "An agent refuses starts, because its zone is cordoned."};
const EventType RunRefused{
    700, "run_refused", Severity::Info,
    "The agent refuses a start request; nothing was started."};
const EventType RunRejected{701, "run_rejected", Severity::Info,
                            "The endpoint did not accept a start call."};
const EventType RunStopping{702, "run_stopping", Severity::Info,
                            "The agent stops a run."};
const EventType RunEnded{703, "run_ended", Severity::Info,
                         "A run has ended and holds no resources."};
const EventType RunSlow{704, "run_slow", Severity::Info,
                        "A run takes much longer than its estimate."};
const EventType EndpointUnreachable{
    705, "endpoint_unheard", Severity::Warning,
    "The endpoint is unreachable; no run is started there."};
const EventType EndpointReachable{706, "endpoint_heard", Severity::Info,
                                  "The endpoint is reachable."};
const EventType EndpointIncarnationStarted{
    707, "endpoint_life_began", Severity::Info,
    "A new incarnation of the endpoint has started; nothing of the previous "
    "one is left."};
const EventType EndpointLeaseExpired{
    708, "endpoint_lapsed", Severity::Warning,
    "The endpoint's lease has expired, which ends every run there."};
const EventType OrphanedRunStopped{709, "foreign_run_stopped",
                                   Severity::Warning,
                                   "An orphaned run that this process did not "
                                   "dispatch, or a late start, is stopped."};
const EventType EndpointLeaseWithheld{
    711, "endpoint_lease_withheld", Severity::Warning,
    "The endpoint's lease is not renewed, because a run that must end soon "
    "cannot be stopped. No run is started until it has ended."};
const EventType EndpointLeaseRenewed{712, "endpoint_lease_renewed",
                                     Severity::Info,
                                     "The endpoint's lease is renewed again."};
const EventType EndpointCrashSuspected{710, "endpoint_crash_suspected",
                                       Severity::Warning,
                                       "The endpoint seems to have crashed; "
                                       "the runs on it, as job/task:age in ms, "
                                       "are suspects."};
const EventType JobPlaced{720, "job_placed", Severity::Info,
                          "Tasks of a job were dispatched; agents are listed "
                          "as name:tasks/free CPU."};
const EventType TaskRerun{
    721, "task_rerun", Severity::Info,
    "A run ended without success; the task waits for another run."};
const EventType TaskMoved{722, "task_moved", Severity::Info,
                          "A slow run is stopped to run the task elsewhere."};
const EventType AgentRunsUnknown{
    723, "agent_runs_in_doubt", Severity::Warning,
    "An agent is lost; its runs count as ended once both leases have expired."};
const EventType RequestRefused{
    724, "request_refused", Severity::Info,
    "A caller's request is refused before it becomes a job."};
const EventType AnnouncementRefused{
    725, "announcement_refused", Severity::Warning,
    "An endpoint's announcement is invalid and names no endpoint to use."};
const EventType ReadinessChanged{
    726, "readiness_changed", Severity::Info,
    "The process reports itself ready or not ready to the load balancer."};
const EventType SubsetChanged{
    727, "subset_changed", Severity::Info,
    "The entry takes agents into use or puts them on standby."};
const EventType CrashRecorded{
    728, "crash_recorded", Severity::Warning,
    "The entry learns that an endpoint crashed and which route may be the "
    "cause."};
const EventType CrashWithdrawn{
    729, "crash_withdrawn", Severity::Info,
    "An endpoint that was recorded as crashed answers again."};
const EventType RouteConfined{
    730, "route_confined", Severity::Warning,
    "Tasks of the route crash endpoints; it gets few endpoints, which run "
    "nothing else."};
const EventType RouteReleased{731, "route_released", Severity::Info,
                              "The route may use all endpoints again."};
const EventType EndpointCordoned{
    750, "endpoint_cordoned", Severity::Warning,
    "The endpoint's zone is cordoned: no run starts here, runs in progress "
    "run to completion."};
const EventType EndpointCordonLifted{751, "endpoint_cordon_lifted",
                                     Severity::Info,
                                     "Runs may start at this endpoint again."};
const EventType RunRefusedByCordon{
    752, "run_refused_by_cordon", Severity::Info,
    "The agent refuses a run because its zone is cordoned, or because it does "
    "not know yet which zones are."};
const EventType EndpointCold{
    753, "endpoint_cold", Severity::Info,
    "The endpoint is cold and offers only a share of its capacity."};
const EventType EndpointWarm{754, "endpoint_warm", Severity::Info,
                             "The endpoint offers its whole capacity again."};
} // namespace events

const std::vector<const EventType *> &allEventTypes() {
  using namespace events;
  static const std::vector<const EventType *> All = {
      &ProcessStarted,
      &ProcessStopped,
      &SettingsRefused,
      &DrainStarted,
      &SettingsReloaded,
      &LogLinesDropped,
      &ProcessPaused,
      &ItemsSkipped,
      &ConnectionDropped,
      &LinkUp,
      &LinkDown,
      &PeerSuspected,
      &PeerLost,
      &FrameRefused,
      &EndpointAnnounced,
      &EndpointLeaving,
      &JobAccepted,
      &JobAttached,
      &JobRelayed,
      &JobRefused,
      &JobAnswered,
      &JobCancelled,
      &TaskPlaced,
      &TaskRejected,
      &TaskRetried,
      &EndpointEjected,
      &EndpointReinstated,
      &IncarnationClosing,
      &IncarnationClosedByAgent,
      &JobResumed,
      &SelfClosed,
      &ConfigAccepted,
      &ConfigRefused,
      &ConfigRecordSkipped,
      &LogUnavailable,
      &LogAvailable,
      &AdminAction,
      &StoreUnavailable,
      &StoreAvailable,
      &CordonsAdopted,
      &StoreBacklog,
      &ZoneCordoned,
      &ZoneCordonLifted,
      &StartRefusedCordoned,
      &RunRefused,
      &RunRejected,
      &RunStopping,
      &RunEnded,
      &RunSlow,
      &EndpointUnreachable,
      &EndpointReachable,
      &EndpointIncarnationStarted,
      &EndpointLeaseExpired,
      &OrphanedRunStopped,
      &EndpointCrashSuspected,
      &EndpointLeaseWithheld,
      &EndpointLeaseRenewed,
      &JobPlaced,
      &TaskRerun,
      &TaskMoved,
      &AgentRunsUnknown,
      &RequestRefused,
      &AnnouncementRefused,
      &ReadinessChanged,
      &SubsetChanged,
      &CrashRecorded,
      &CrashWithdrawn,
      &RouteConfined,
      &RouteReleased,
      &EndpointCordoned,
      &EndpointCordonLifted,
      &RunRefusedByCordon,
      &EndpointCold,
      &EndpointWarm};
  return All;
}

namespace {

// Callers and peers choose some of the texts, so a line needs a bound of its
// own. It is above the length of the longest job id.
constexpr std::size_t MaxFieldBytes = 1024;

/// Text, or its begin in Storage if it is too long for a line.
const std::string &shortened(const std::string &Text, std::string &Storage) {
  if (Text.size() <= MaxFieldBytes)
    return Text;
  Storage = Text.substr(0, MaxFieldBytes) + "...";
  return Storage;
}

bool needsQuotes(const std::string &Text) {
  return Text.empty() ||
         Text.find_first_of(" \"=\n\r\t\\") != std::string::npos;
}

void appendQuoted(std::string &Line, const std::string &Text) {
  Line += '"';
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Line += '\\';
    if (static_cast<unsigned char>(C) < 0x20)
      Line += ' ';
    else
      Line += C;
  }
  Line += '"';
}

} // namespace

std::string Event::str() const {
  std::string Line = std::to_string(Type_->Number_) + " " + Type_->Name_;
  std::string Storage;
  for (const auto &[Key, FullText] : Fields_) {
    const std::string &Text = shortened(FullText, Storage);
    Line += ' ';
    Line += Key;
    Line += '=';
    if (needsQuotes(Text))
      appendQuoted(Line, Text);
    else
      Line += Text;
  }
  return Line;
}

namespace {

bool isNumber(const std::string &Text) {
  const std::size_t First = !Text.empty() && Text[0] == '-' ? 1 : 0;
  const std::size_t Digits = Text.size() - First;
  return Digits > 0 && Digits < 16 &&
         Text.find_first_not_of("0123456789", First) == std::string::npos &&
         (Digits == 1 || Text[First] != '0');
}

// Replaces bytes that are not printable ASCII, so that a line is valid JSON
// even if a peer sent arbitrary bytes.
void appendJson(std::string &Line, const std::string &Text) {
  Line += '"';
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Line += '\\';
    Line += C >= 0x20 && C < 0x7f ? C : '?';
  }
  Line += '"';
}

} // namespace

// Written without a JSON library, since building a document tree costs more
// than all other work for a line. Job identifiers are always strings, even if
// they consist of digits only.
std::string Event::json(std::int64_t UnixMs) const {
  static constexpr const char *Severities[] = {"debug", "info", "warning",
                                               "error"};
  std::string Line = "{\"time_ms\":" + std::to_string(UnixMs);
  Line += ",\"level\":\"";
  Line += Severities[static_cast<std::size_t>(Type_->Severity_)];
  Line += "\",\"event\":\"";
  Line += Type_->Name_;
  Line += "\",\"number\":" + std::to_string(Type_->Number_);
  std::string Storage;
  for (const auto &[Key, FullText] : Fields_) {
    const std::string &Text = shortened(FullText, Storage);
    Line += ",\"";
    Line += Key;
    Line += "\":";
    if (isNumber(Text) && std::string_view(Key) != "job")
      Line += Text;
    else
      appendJson(Line, Text);
  }
  return Line + '}';
}

std::string eventsPage() {
  static constexpr const char *Severities[] = {"debug", "info", "warning",
                                               "error"};
  std::string Page =
      "# Log events\n\n"
      "Each log line is `NUMBER NAME field=value ...`; numbers and names are "
      "stable.\nThe field `job` is `TEAM/OWNER TOKEN/KEY`: searching for it in "
      "the logs of all\nprocesses shows the whole history of that job. This "
      "page is generated by\n`chivelanding events`; a test compares it with "
      "the "
      "code.\n"
      "\n| number | name | severity | meaning |\n| --- | --- | --- | --- |\n";
  for (const EventType *Type : allEventTypes())
    Page += "| " + std::to_string(Type->Number_) + " | `" + Type->Name_ +
            "` | " + Severities[static_cast<std::size_t>(Type->Severity_)] +
            " | " + Type->Meaning_ + " |\n";
  return Page;
}

} // namespace chivelanding
