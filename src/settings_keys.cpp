#include "settings_keys.h"

namespace chivelanding {
namespace {

constexpr std::int64_t HourMs = 3'600'000;
constexpr std::int64_t Gibibyte = std::int64_t(1) << 30;

} // namespace

const std::vector<Key<ProcessSettings>> &processKeys() {
  using S = ProcessSettings;
  static const std::vector<Key<S>> Keys = {
      {"name", &S::Name_, 1, 63, true,
       "name of the process, unique among its role; letters, digits, `-`, "
       "`_`"},
      {"zone", &S::Zone_, 1, 63, true, "availability zone of this VM"},
      {"region", &S::Region_, 1, 63, true, "region of this VM"},
      {"log_level", &S::LogLevel_, 0, 0, false,
       "lowest severity that is logged: `debug`, `info`, `warning`, `error`"},
      {"log_format", &S::LogFormat_, 0, 0, false,
       "`json`: one object a line on standard output; `text`: plain lines on "
       "standard error"},
      {"heartbeat_ms", &S::Heartbeat_, 10, 60'000, false,
       "heartbeat period on an idle link"},
      {"suspect_after_ms", &S::SuspectAfter_, 50, 600'000, false,
       "silence after which a peer is suspected and a second connection is "
       "opened"},
      {"lost_after_ms", &S::LostAfter_, 100, HourMs, false,
       "silence after which a peer may be declared lost"},
      {"max_frame_bytes", &S::MaxFrameBytes_, 65'536, Gibibyte, false,
       "largest frame accepted from a peer"},
      {"drain_limit_ms", &S::DrainLimit_, 0, HourMs, false,
       "longest time that a drain waits for running work"},
      {"log", &S::Log_, 0, 0, false,
       "address of the platform's log; without it the process gets the "
       "configuration from its peers"},
  };
  return Keys;
}

const std::vector<Key<ResourceLimits>> &resourceKeys() {
  using S = ResourceLimits;
  static const std::vector<Key<S>> Keys = {
      {"memory_mb", &S::MemoryMb_, 32, 1'048'576, false,
       "memory that this process may use; a request, and all requests and jobs "
       "together, may hold a part of it"},
      {"descriptors", &S::Descriptors_, 128, 1'048'576, false,
       "file descriptors that this process may open; callers, peers and others "
       "have a part of them each"},
  };
  return Keys;
}

const std::vector<Key<EntrySettings>> &entryKeys() {
  using S = EntrySettings;
  static const std::vector<Key<S>> Keys = {
      {"listen", &S::Listen_, 0, 0, true, "callers' HTTP listener"},
      {"peer_listen", &S::PeerListen_, 0, 0, true,
       "listener for agents and other entries"},
      {"admin_listen", &S::AdminListen_, 0, 0, false,
       "listener of the administration API; off if not set"},
      {"seeds", &S::Seeds_, 0, 64, false,
       "peer listeners of other entries to contact first, or the balancer's "
       "address"},
      {"max_body_bytes", &S::MaxBodyBytes_, 1024, Gibibyte, false,
       "largest body of a caller's request"},
      {"max_connections", &S::MaxConnections_, 1, 1'000'000, false,
       "callers' connections that may be open at once"},
      {"max_tasks_per_job", &S::MaxTasksPerJob_, 1, 1700, false,
       "tasks in one job"},
      {"max_waiting_tasks", &S::MaxWaitingTasks_, 1, 10'000'000, false,
       "tasks that may wait at this entry"},
      {"token_epoch_ms", &S::TokenEpoch_, 100, HourMs, false,
       "length of an epoch of owner tokens"},
      {"token_epochs_accepted", &S::TokenEpochsAccepted_, 1, 1000, false,
       "past epochs whose tokens are still accepted for new jobs"},
      {"result_bytes", &S::ResultBytes_, 1024, 64 * Gibibyte, false,
       "bytes of results kept for answered jobs"},
      {"seed", &S::Seed_, 0, INT64_MAX, false,
       "seed of random choices; 0: a random seed is drawn at the start"},
  };
  return Keys;
}

const std::vector<Key<AgentSettings>> &agentKeys() {
  using S = AgentSettings;
  static const std::vector<Key<S>> Keys = {
      {"listen", &S::Listen_, 0, 0, true,
       "local HTTP listener for the endpoint"},
      {"entries", &S::Entries_, 1, 64, true,
       "peer listeners of entries to contact first, or the balancer's address"},
      {"queue_room", &S::QueueCapacity_, 0, 1000, false,
       "tasks that may wait at the agent beyond the endpoint's slots"},
      {"result_bytes", &S::ResultBytes_, 1024, 64 * Gibibyte, false,
       "bytes of results kept for jobs that have no answer yet"},
      {"retention_ms", &S::Retention_, 1000, 24 * HourMs, false,
       "time that records of lost or closed owners are kept"},
  };
  return Keys;
}

const std::vector<Key<LeaseSettings>> &leaseKeys() {
  using S = LeaseSettings;
  static const std::vector<Key<S>> Keys = {
      {"max_endpoint_lease_ms", &S::MaxEndpointLease_, 300, 60'000, false,
       "longest lease that the endpoints grant"},
      {"caller_retry_ms", &S::CallerRetry_, 500, HourMs, false,
       "pause after which a caller sends a job again; the runs of a lost entry "
       "are over by then"},
      {"stop_time_ms", &S::StopTime_, 1, 10'000, false,
       "longest time that an endpoint takes to stop a run"},
  };
  return Keys;
}

const std::vector<Key<CordonSettings>> &cordonKeys() {
  using S = CordonSettings;
  static const std::vector<Key<S>> Keys = {
      {"apply_within_ms", &S::ApplyWithin_, 1, HourMs, true,
       "time within which no run starts any more in a zone that the operators "
       "take out of service"},
  };
  return Keys;
}

const std::vector<Key<DispatchEntrySettings>> &dispatchEntryKeys() {
  using S = DispatchEntrySettings;
  static const std::vector<Key<S>> Keys = {
      {"listen", &S::Listen_, 0, 0, true, "callers' HTTP listener"},
      {"ready_listen", &S::ReadyListen_, 0, 0, true,
       "listener for the load balancer's readiness check"},
      {"metrics_listen", &S::MetricsListen_, 0, 0, false,
       "listener for metrics; off if not set"},
      {"peer_listen", &S::PeerListen_, 0, 0, true,
       "listener for agents and other entries"},
      {"peer_advertise", &S::PeerAdvertise_, 0, 0, false,
       "address at which peers reach `peer_listen`, if it is another one"},
      {"seeds", &S::Seeds_, 0, 64, false,
       "addresses on the VMs of other entries; the port is that of "
       "`peer_listen`"},
      {"grace_ms", &S::Grace_, 100, HourMs, false,
       "time from SIGTERM until the process is killed"},
  };
  return Keys;
}

const std::vector<Key<DispatchAgentSettings>> &dispatchAgentKeys() {
  using S = DispatchAgentSettings;
  static const std::vector<Key<S>> Keys = {
      {"listen", &S::Listen_, 0, 0, true,
       "HTTP listener for the endpoint on this VM"},
      {"endpoint", &S::Endpoint_, 0, 0, true,
       "address of the endpoint on this VM"},
      {"service", &S::Service_, 1, 63, true,
       "service that the endpoint belongs to"},
      {"metrics_listen", &S::MetricsListen_, 0, 0, false,
       "listener for metrics; off if not set"},
      {"peer_listen", &S::PeerListen_, 0, 0, true,
       "address for peers; the entries listen at this port"},
      {"seeds", &S::Seeds_, 0, 64, false,
       "addresses on the VMs of entries; the port is that of `peer_listen`"},
      {"grace_ms", &S::Grace_, 100, HourMs, false,
       "time from SIGTERM until the process is killed"},
  };
  return Keys;
}

} // namespace chivelanding
