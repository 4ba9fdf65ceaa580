#ifndef CHIVELANDING_EVENTS_H
#define CHIVELANDING_EVENTS_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace chivelanding {

enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

/// Number, name, severity and meaning of one log event. Numbers are stable;
/// docs/events.md lists them all.
struct EventType {
  std::uint16_t Number_;
  const char *Name_;
  Severity Severity_;
  const char *Meaning_;
};

/// Name and value of one field of an event.
using EventField = std::pair<const char *, std::string>;

/// One occurrence of an event.
struct Event {
  const EventType *Type_;
  std::vector<EventField> Fields_;

  /// One line: "NUMBER NAME field=value ...", values quoted where needed and
  /// cut after a kilobyte.
  std::string str() const;
  /// One JSON object with the time of day in Unix milliseconds. Integer values
  /// are written as numbers, except for the field `job`; texts are cut after a
  /// kilobyte.
  std::string json(std::int64_t UnixMs) const;
};

/// Output of a decision module: an event to be written to the log.
struct LogEvent {
  Event Event_;
};

namespace events {
// 100-199: process.
extern const EventType ProcessStarted;
extern const EventType ProcessStopped;
extern const EventType SettingsRefused;
extern const EventType DrainStarted;
extern const EventType SettingsReloaded;
extern const EventType LogLinesDropped;
extern const EventType ProcessPaused;
extern const EventType ItemsSkipped;
extern const EventType ConnectionDropped;
// 200-299: membership and links.
extern const EventType LinkUp;
extern const EventType LinkDown;
extern const EventType PeerSuspected;
extern const EventType PeerLost;
extern const EventType FrameRefused;
extern const EventType EndpointAnnounced;
extern const EventType EndpointLeaving;
// 300-399: jobs.
extern const EventType JobAccepted;
extern const EventType JobAttached;
extern const EventType JobRelayed;
extern const EventType JobRefused;
extern const EventType JobAnswered;
extern const EventType JobCancelled;
// 400-499: placement.
extern const EventType TaskPlaced;
extern const EventType TaskRejected;
extern const EventType TaskRetried;
extern const EventType EndpointEjected;
extern const EventType EndpointReinstated;
// 500-599: recovery.
extern const EventType IncarnationClosing;
extern const EventType IncarnationClosedByAgent;
extern const EventType JobResumed;
extern const EventType SelfClosed;
// 600-699: configuration.
extern const EventType ConfigAccepted;
extern const EventType ConfigRefused;
extern const EventType ConfigRecordSkipped;
extern const EventType LogUnavailable;
extern const EventType LogAvailable;
extern const EventType AdminAction;
extern const EventType StoreUnavailable;
extern const EventType StoreAvailable;
extern const EventType CordonsAdopted;
extern const EventType StoreBacklog;
extern const EventType ZoneCordoned;
extern const EventType ZoneCordonLifted;
extern const EventType StartRefusedCordoned;
// 700-799: runs under leases.
extern const EventType RunRefused;
extern const EventType RunRejected;
extern const EventType RunStopping;
extern const EventType RunEnded;
extern const EventType RunSlow;
extern const EventType EndpointUnreachable;
extern const EventType EndpointReachable;
extern const EventType EndpointIncarnationStarted;
extern const EventType EndpointLeaseExpired;
extern const EventType OrphanedRunStopped;
extern const EventType EndpointLeaseWithheld;
extern const EventType EndpointLeaseRenewed;
extern const EventType EndpointCrashSuspected;
extern const EventType JobPlaced;
extern const EventType TaskRerun;
extern const EventType TaskMoved;
extern const EventType AgentRunsUnknown;
extern const EventType RequestRefused;
extern const EventType AnnouncementRefused;
extern const EventType ReadinessChanged;
extern const EventType SubsetChanged;
extern const EventType CrashRecorded;
extern const EventType CrashWithdrawn;
extern const EventType RouteConfined;
extern const EventType RouteReleased;
extern const EventType EndpointCordoned;
extern const EventType EndpointCordonLifted;
extern const EventType RunRefusedByCordon;
extern const EventType EndpointCold;
extern const EventType EndpointWarm;
} // namespace events

/// Every event type, by number.
const std::vector<const EventType *> &allEventTypes();

/// The page docs/events.md, generated from the list of all events.
std::string eventsPage();

} // namespace chivelanding

#endif
