#include "events.h"

namespace chivelanding {

namespace events {
const EventType ProcessStarted{100, "process_started", Severity::Info,
                               "The process has started with these settings."};
const EventType ProcessStopped{101, "process_stopped", Severity::Info,
                               "The process ends in an orderly way."};
const EventType SettingsRefused{102, "settings_refused", Severity::Error,
                                "The settings file is not valid."};
const EventType DrainStarted{103, "drain_started", Severity::Info,
                             "The process takes no new work from now on."};
const EventType LinkUp{200, "link_up", Severity::Info,
                       "A connection to a peer is established."};
const EventType LinkDown{201, "link_down", Severity::Info,
                         "A connection to a peer has ended."};
const EventType PeerSuspected{202, "peer_suspected", Severity::Warning,
                              "A peer has been silent for the suspicion time."};
const EventType PeerLost{203, "peer_lost", Severity::Warning,
                         "A peer incarnation is given up."};
const EventType FrameRefused{204, "frame_refused", Severity::Warning,
                             "A frame from a peer is malformed or unexpected."};
const EventType EndpointAnnounced{205, "endpoint_announced", Severity::Info,
                                  "An endpoint announced itself or changed."};
const EventType EndpointLeaving{206, "endpoint_leaving", Severity::Info,
                                "An endpoint takes no new work."};
const EventType JobAccepted{300, "job_accepted", Severity::Info,
                            "A new job is owned by this entry."};
const EventType JobAttached{301, "job_attached", Severity::Info,
                            "A resubmission is attached to a known job."};
const EventType JobRelayed{302, "job_relayed", Severity::Info,
                           "A submission is relayed to the job's owner."};
const EventType JobRefused{303, "job_refused", Severity::Info,
                           "A submission is refused; nothing of it runs."};
const EventType JobAnswered{304, "job_answered", Severity::Info,
                            "A job has its whole answer."};
const EventType JobCancelled{305, "job_cancelled", Severity::Info,
                             "A job is cancelled."};
const EventType TaskPlaced{400, "task_placed", Severity::Info,
                           "A task is sent to an agent."};
const EventType TaskRejected{401, "task_rejected", Severity::Info,
                             "An agent returned a task that did not start."};
const EventType TaskRetried{402, "task_retried", Severity::Info,
                            "An idempotent request is sent again."};
const EventType EndpointSetAside{403, "endpoint_set_aside", Severity::Warning,
                                 "An endpoint receives less or no work."};
const EventType EndpointReinstated{404, "endpoint_reinstated", Severity::Info,
                                   "An endpoint receives work again."};
const EventType IncarnationClosing{500, "incarnation_closing",
                                   Severity::Warning,
                                   "A lost entry is being closed at agents."};
const EventType IncarnationClosedHere{501, "incarnation_closed",
                                      Severity::Warning,
                                      "An agent has closed an entry."};
const EventType JobResumed{502, "job_resumed", Severity::Info,
                           "A job of a closed entry is resumed here."};
const EventType SelfClosed{503, "self_closed", Severity::Warning,
                           "This entry was closed; it rejoins anew."};
const EventType ConfigAccepted{600, "config_accepted", Severity::Info,
                               "A configuration version is in force."};
const EventType ConfigRefused{601, "config_refused", Severity::Warning,
                              "A configuration change is refused."};
const EventType ConfigRecordSkipped{602, "config_record_skipped",
                                    Severity::Warning,
                                    "A log record is not valid and skipped."};
const EventType LogUnavailable{603, "log_unavailable", Severity::Warning,
                               "The platform's log does not answer."};
const EventType LogAvailable{604, "log_available", Severity::Info,
                             "The platform's log answers again."};
const EventType AdminAction{605, "admin_action", Severity::Info,
                            "An operator's action, for the audit."};
} // namespace events

const std::vector<const EventType *> &allEventTypes() {
  using namespace events;
  static const std::vector<const EventType *> All = {&ProcessStarted,
                                                     &ProcessStopped,
                                                     &SettingsRefused,
                                                     &DrainStarted,
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
                                                     &EndpointSetAside,
                                                     &EndpointReinstated,
                                                     &IncarnationClosing,
                                                     &IncarnationClosedHere,
                                                     &JobResumed,
                                                     &SelfClosed,
                                                     &ConfigAccepted,
                                                     &ConfigRefused,
                                                     &ConfigRecordSkipped,
                                                     &LogUnavailable,
                                                     &LogAvailable,
                                                     &AdminAction};
  return All;
}

namespace {

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
  for (const auto &[Key, Text] : Fields_) {
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

std::string eventsPage() {
  static constexpr const char *Severities[] = {"debug", "info", "warning",
                                               "error"};
  std::string Page =
      "# Log events\n\n"
      "Each log line is `NUMBER NAME field=value ...`; numbers and names are "
      "stable.\nThe field `job` is `TEAM/OWNER TOKEN/KEY`: searching for it in "
      "the logs of all\nprocesses shows the whole course of one job. This page "
      "is made by\n`chivelanding events`; a test holds it equal to the code.\n"
      "\n| number | name | severity | meaning |\n| --- | --- | --- | --- |\n";
  for (const EventType *Type : allEventTypes())
    Page += "| " + std::to_string(Type->Number_) + " | `" + Type->Name_ +
            "` | " + Severities[static_cast<std::size_t>(Type->Severity_)] +
            " | " + Type->Meaning_ + " |\n";
  return Page;
}

} // namespace chivelanding
