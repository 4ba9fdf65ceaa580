#ifndef CHIVELANDING_TESTS_FUZZ_NODE_H
#define CHIVELANDING_TESTS_FUZZ_NODE_H

#include "config_sync.h"
#include "fuzz_network.h"
#include "fuzz_oracle.h"
#include "job_owner.h"
#include "link.h"
#include "membership.h"
#include "start_controller.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelanding::fuzz {

/// Services that the simulation offers to its processes.
class Environment {
public:
  virtual ~Environment() = default;
  virtual EventScheduler &scheduler() = 0;
  virtual Network &network() = 0;
  virtual void startRun(const std::string &Agent, const RunTask &Run) = 0;
  virtual void stopRun(const std::string &Agent, RunId Run) = 0;
  virtual void answer(const std::string &Entry, RequestId Request,
                      const JobAnswer &Answer) = 0;
  /// Returns the identity under which a process continues after its incarnation
  /// was closed.
  virtual PeerId newIncarnation(const PeerId &Old) = 0;
  /// A configuration version is in force at the process from now on.
  virtual void onInForce(const std::string &Name, ConfigVersion Version) = 0;
  /// Defect of all agents: the start controller does not learn of cordons.
  virtual bool ignoresCordons() const = 0;
  /// The process has exited: at the end of a drain or, if Rejoin, because a
  /// later process superseded it. A new process replaces it in both cases.
  virtual void onExited(const std::string &Name, bool Rejoin) = 0;
};

/// One simulated process: its links, and the event loop that a real one runs on
/// sockets.
class Node : public Receiver {
public:
  Node(Environment &Env, const PeerId &Self, const std::string &Zone,
       std::vector<std::string> Seeds);

  void onDialled(ConnectionId C) override;
  void onAccepted(ConnectionId C) override;
  void onBytes(ConnectionId C, const std::string &Bytes) override;
  void onClosed(ConnectionId C) override;
  void onTimer();
  virtual void drain() = 0;

  const PeerId &self() const { return Self_; }
  bool hasExited() const { return HasExited_; }

protected:
  virtual void onPeerUp(const PeerId &P) = 0;
  virtual void onPeerSuspected(const PeerId &P) = 0;
  virtual void onPeerReachable(const PeerId &P) = 0;
  virtual void onPeerLost(const PeerId &P) = 0;
  virtual void onMessage(const PeerId &From, const Message &M) = 0;
  virtual void onTick() = 0;

  const std::string &zone() const { return Zone_; }
  Time now() { return Env_.scheduler().now(); }
  void send(const PeerId &To, Message M);
  void apply(LinkOutputs Out);
  void flushLinks();
  void exitProcess(bool Rejoin);
  /// Sends what the configuration exchange decided, and takes new versions.
  void applyConfig(const SyncOutputs &Out);
  /// Returns false if the message is not about the configuration.
  bool onConfigMessage(const PeerId &From, const Message &M);
  virtual void onInForce(const AcceptedConfig &Config) = 0;
  /// Closes every connection, discards every session and the directory, and
  /// starts again under the identity Self_.
  void restartLinks();

  Environment &Env_;
  PeerId Self_;
  Links Links_;
  EntryDirectory Directory_;
  ConfigSync Config_;
  std::vector<std::string> Seeds_;
  bool HasExited_ = false;

private:
  std::string Zone_;
  Time LastDial_;
  std::map<std::string, PeerId> ConfigPeers_;
};

/// An agent that runs the production decision modules.
class AgentNode : public Node {
public:
  AgentNode(Environment &Env, const PeerId &Self, const EndpointInfo &Info,
            std::vector<std::string> Seeds);

  void drain() override;
  void runEnded(RunId Run, RunOutcome Outcome, const std::string &Result,
                Duration RunTime);
  std::size_t running() const { return Controller_.running(); }

private:
  void onPeerUp(const PeerId &P) override;
  void onPeerSuspected(const PeerId &P) override;
  void onPeerReachable(const PeerId &P) override;
  void onPeerLost(const PeerId &P) override;
  void onMessage(const PeerId &From, const Message &M) override;
  void onTick() override;
  void onInForce(const AcceptedConfig &Config) override;
  void apply(StartControllerOutputs Out);

  StartController Controller_;
  std::vector<EntryId> ReportedEntries_;
};

} // namespace chivelanding::fuzz

#endif
