#ifndef CHIVELANDING_LINK_H
#define CHIVELANDING_LINK_H

#include "link_session.h"
#include "message.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chivelanding {

/// Number of one connection, chosen by the transport and never used again.
using ConnectionId = Number<struct ConnectionTag>;

/// One run of a process of either role.
struct PeerId {
  Role Role_ = Role::Entry;
  std::string Name_;
  Incarnation Incarnation_;

  EntryId entry() const { return {Name_, Incarnation_}; }
  AgentId agent() const { return {Name_, Incarnation_}; }
  static PeerId of(const EntryId &E) {
    return {Role::Entry, E.Name_, E.Incarnation_};
  }
  static PeerId of(const AgentId &A) {
    return {Role::Agent, A.Name_, A.Incarnation_};
  }
  std::string str() const { return entry().str(); }

  friend bool operator==(const PeerId &A, const PeerId &B) {
    return A.Role_ == B.Role_ && A.Incarnation_ == B.Incarnation_ &&
           A.Name_ == B.Name_;
  }
  friend bool operator<(const PeerId &A, const PeerId &B) {
    return std::tie(A.Role_, A.Name_, A.Incarnation_) <
           std::tie(B.Role_, B.Name_, B.Incarnation_);
  }
};

/// Output: send a frame on a connection.
struct SendFrame {
  ConnectionId Connection_;
  Frame Frame_;
};

/// Output: close a connection; nothing more is taken from it.
struct CloseConnection {
  ConnectionId Connection_;
  Error Reason_;
};

/// Output: open a further connection to this peer.
struct DialPeer {
  PeerId Peer_;
};

/// Output: a session with this peer begins, with nothing sent or received.
struct PeerUp {
  PeerId Peer_;
  ZoneName Zone_;
  RegionName Region_;
};

/// Output: nothing was heard of the peer for LinkLimits::SuspectAfter_.
struct PeerSuspected {
  PeerId Peer_;
};

/// Output: a suspected peer was heard again; nothing was lost.
struct PeerReachable {
  PeerId Peer_;
};

/// Output: the session is over. Messages that were not delivered in it never
/// will be. Reason codes: silent, superseded, session_ended, buffer_full.
struct PeerLost {
  PeerId Peer_;
  Error Reason_;
};

/// Output: the next message of a peer, exactly once and in order in a session.
struct Deliver {
  PeerId From_;
  Message Message_;
};

/// Output: a peer knows a later process of this process's role and name, and
/// refuses this one.
struct SelfSuperseded {
  Incarnation By_;
};

using LinkOutput =
    std::variant<SendFrame, CloseConnection, DialPeer, PeerUp, PeerSuspected,
                 PeerReachable, PeerLost, Deliver, SelfSuperseded>;
using LinkOutputs = std::vector<LinkOutput>;

/// Periods and bounds of all links of a process. The periods are measured on
/// this process's clock while it runs; nothing is assumed of the peers' clocks
/// or of the delay of messages. They decide only when this process gives up
/// waiting, never what a peer has done.
struct LinkLimits {
  /// Period of heartbeats on an idle connection.
  Duration Heartbeat_ = std::chrono::milliseconds(200);
  /// Silence after which a second connection is dialled.
  Duration SuspectAfter_ = std::chrono::seconds(1);
  /// Silence after which the session is given up.
  Duration LostAfter_ = std::chrono::seconds(5);
  /// All of these periods are longer by this factor on a standby link.
  std::int64_t StandbyFactor_ = 10;
  SessionLimits Session_;
};

/// All links of one process: connections, sessions with peer incarnations, and
/// the detection of silence. Decides without I/O.
///
/// A session that was given up is over for good at both ends. If the peer
/// returns in the same incarnation, a new session with a higher number begins
/// with PeerUp, and the end that had not given up gets PeerLost first.
class Links {
public:
  Links(PeerId Self, ZoneName Zone, RegionName Region, LinkLimits Limits);

  /// A connection that this process opened is up.
  LinkOutputs onDialled(ConnectionId C, Time Now);
  /// A connection that a peer opened is up. Its Hello must follow within
  /// SuspectAfter_.
  void onAccepted(ConnectionId C, Time Now);
  LinkOutputs onFrame(ConnectionId C, const Frame &F, Time Now);
  /// The transport lost or closed the connection.
  LinkOutputs onClosed(ConnectionId C, Time Now);
  /// Queues a message for the peer's current session; ignored if the peer has
  /// none. It leaves with the next flush.
  LinkOutputs send(const PeerId &To, Message M, Time Now);
  /// Makes the current session's link a standby link, which carries hardly any
  /// traffic and on which silence is noticed later. Both ends must do so.
  void setStandby(const PeerId &P, bool Standby, Time Now);
  /// Batches queued messages into frames.
  LinkOutputs flush(Time Now);
  /// Heartbeats, suspicion and loss. To be called at least every Heartbeat_.
  LinkOutputs onTimer(Time Now);

  /// True if a session with this incarnation is in force.
  bool isUp(const PeerId &P) const;
  /// True if isUp and the peer is not suspected.
  bool isReachable(const PeerId &P) const;
  /// True if no peer still has to acknowledge a message; with ReachableOnly,
  /// peers that are suspected do not count.
  bool allAcknowledged(bool ReachableOnly) const;
  /// Entry incarnations heard, for EntriesHeard.
  std::vector<EntryId> reachableEntries() const;

private:
  using PeerKey = std::pair<Role, std::string>;
  struct Connection {
    bool Dialled_ = false;
    Time OpenedAt_;
    /// Who the dialling side said it is, until it confirms.
    std::optional<PeerId> ClaimedPeer_;
    /// Set once the connection is in use for the peer's current session.
    std::optional<PeerKey> Peer_;
  };
  struct PeerState {
    PeerId Id_;
    std::uint64_t SessionNumber_ = 1;
    std::optional<LinkSession> Session_;
    std::optional<ConnectionId> ActiveConnection_;
    bool IsDialler_ = false;
    bool Suspected_ = false;
    bool Standby_ = false;
    Time LastReceivedAt_;
    Time LastSentAt_;
    Time LastDialledAt_;
    /// When the peer last acknowledged something new, or owed nothing.
    Time LastProgressAt_;
    std::uint64_t LastAcknowledged_ = 0;
    /// Incarnations of this name that were superseded.
    std::set<Incarnation> SupersededIncarnations_;
  };

  Hello makeHello(const PeerId &To) const;
  void onHello(ConnectionId C, const Hello &H, Time Now, LinkOutputs &Out);
  bool acceptIdentity(ConnectionId C, const Hello &H, LinkOutputs &Out);
  void answerHello(ConnectionId C, const Hello &H, LinkOutputs &Out);
  PeerState &adoptIncarnation(const PeerId &Id, LinkOutputs &Out);
  void alignSession(PeerState &P, const Hello &H, Time Now, LinkOutputs &Out);
  /// True if this connection was dialled at the same time as the one in use,
  /// which both ends prefer.
  bool isDuplicateConnection(const PeerState &P, ConnectionId C,
                             Time Now) const;
  void activate(PeerState &P, ConnectionId C, Time Now, LinkOutputs &Out);
  void markReachable(PeerState &P, Time Now, LinkOutputs &Out);
  void close(ConnectionId C, const char *Code, std::string Detail,
             LinkOutputs &Out);
  void endSession(PeerState &P, const char *Code, std::string Detail,
                  LinkOutputs &Out);
  void flushPeer(PeerState &P, Time Now, LinkOutputs &Out);
  void checkReachability(PeerState &P, Time Now, LinkOutputs &Out);
  void retransmitIfStalled(PeerState &P, Time Now);
  void dial(PeerState &P, Time Now, LinkOutputs &Out);
  /// One of the limits as it holds for this peer.
  Duration scaledPeriod(const PeerState &P, Duration Period) const;
  PeerState *findPeer(const PeerId &Id);
  const PeerState *findPeer(const PeerId &Id) const;

  PeerId Self_;
  ZoneName Zone_;
  RegionName Region_;
  LinkLimits Limits_;
  std::map<ConnectionId, Connection> Connections_;
  std::map<PeerKey, PeerState> Peers_;
  std::optional<Time> LastTimer_;
};

} // namespace chivelanding

#endif
