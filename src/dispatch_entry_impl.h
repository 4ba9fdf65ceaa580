#ifndef CHIVELANDING_DISPATCH_ENTRY_IMPL_H
#define CHIVELANDING_DISPATCH_ENTRY_IMPL_H

#include "config_feed.h"
#include "cordon_exchange.h"
#include "counted_store.h"
#include "dispatch_entry.h"
#include "drain_plan.h"
#include "entry_config.h"
#include "entry_presence.h"
#include "http_server.h"
#include "metrics.h"
#include "pause_monitor.h"
#include "peer_hub.h"
#include "periodic_timer.h"
#include "resource_plan.h"
#include "status_server.h"
#include "waiting_callers.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <set>

namespace chivelanding {

struct DispatchEntry::Impl : std::enable_shared_from_this<DispatchEntry::Impl> {
  Impl(boost::asio::io_context &Io, DispatchEntrySettings Settings,
       EntryPorts Ports, EventLog &Log);

  PeerHandler makeHandler();
  void onRequest(HttpRequest &&Request, const HttpReplyPtr &Reply);
  void onSubmit(SubmitRequest Request, const HttpReplyPtr &Reply, Time Now);
  void refuseSubmission(const JobKey &Job, const char *Code,
                        const HttpReplyPtr &Reply);
  void onCancel(const CancelRequest &Request, const HttpReplyPtr &Reply);
  void onCallerDisconnected(JobNumber Job, const HttpReply *Reply, Time Now);
  void limitCallers(Time Now);
  void onAnswer(const AnswerJob &A);
  void sendAnswer(const AnswerJob &A, const std::vector<WaitingCaller> &Callers,
                  Time Now);
  void onPeerMessage(const PeerId &From, const Message &M);
  void apply();
  void applyCordons(Time Now);
  bool isReady();
  HttpResponse metrics();
  /// Returns the current time. Called before an event is handled, to notice
  /// that the process was paused before it.
  Time beginEvent();
  void onPause(Duration Pause, Time Now);
  void checkCallers(JobNumber Job, Time Now);
  void checkAllCallers(Time Now);
  void onTick(Time Now);
  void checkReady();
  void drain();
  void advanceDrain(Time Now);

  boost::asio::io_context &Io_;
  DispatchEntrySettings Settings_;
  ResourcePlan Resources_;
  EntryPorts Ports_;
  EventLog &Log_;
  EntryId Self_;
  Dispatcher Dispatcher_;
  Metrics Metrics_;
  CountedStore Store_;
  HttpServer Http_;
  StatusServer ReadyServer_;
  StatusServer MetricsServer_;
  PeerHub Hub_;
  EntryConfig Config_;
  CordonExchange Cordons_;
  ConfigFeed ConfigFeed_;
  EntryPresence Presence_;
  PeriodicTimer Timer_;
  PauseMonitor Pauses_;
  /// Set after a pause until the callers have been checked again.
  std::optional<Time> CallerCheckDue_;
  WaitingCallers WaitingCallers_;
  std::set<PeerId> ConnectedEntries_;
  std::optional<DrainPlan> Drain_;
  std::optional<bool> WasReady_;
  bool Stopped_ = false;
};

} // namespace chivelanding

#endif
