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

/// Identifies one connection; assigned by the transport and never reused.
using ConnectionId = Number<struct ConnectionTag>;

/// One incarnation of a process of either role.
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

/// Output: close a connection. Later frames of it are ignored.
struct CloseConnection {
  ConnectionId Connection_;
  Error Reason_;
};

/// Output: open another connection to this peer.
struct DialPeer {
  PeerId Peer_;
};

/// Output: a new session with this peer has begun; no message has been sent or
/// received in it.
struct PeerUp {
  PeerId Peer_;
  ZoneName Zone_;
  RegionName Region_;
};

/// Output: no frame of the peer arrived for LinkLimits::SuspectAfter_.
struct PeerSuspected {
  PeerId Peer_;
};

/// Output: a frame of a suspected peer arrived. The session continues without
/// loss of messages.
struct PeerReachable {
  PeerId Peer_;
};

/// Output: the session has ended. Messages that were not delivered in it never
/// will be. Reason codes: silent, superseded, session_ended, buffer_full.
struct PeerLost {
  PeerId Peer_;
  Error Reason_;
};

/// Output: the next message of a peer; within a session each is delivered once
/// and in order.
struct Deliver {
  PeerId From_;
  Message Message_;
};

/// Output: a peer has accepted a later process of this process's role and name,
/// and rejects this one.
struct SelfSuperseded {
  Incarnation By_;
};

using LinkOutput =
    std::variant<SendFrame, CloseConnection, DialPeer, PeerUp, PeerSuspected,
                 PeerReachable, PeerLost, Deliver, SelfSuperseded>;
using LinkOutputs = std::vector<LinkOutput>;

/// Periods, timeouts and limits of all links of a process. Times are measured
/// on this process's clock while it runs; nothing is assumed about the clocks
/// of the peers or the delay of messages. A timeout only ends this process's
/// wait; it proves nothing about what the peer has done.
struct LinkLimits {
  /// Period of heartbeats on an idle connection.
  Duration Heartbeat_ = std::chrono::milliseconds(200);
  /// Time without a frame of the peer after which a second connection is
  /// dialled.
  Duration SuspectAfter_ = std::chrono::seconds(1);
  /// Time without a frame of the peer after which the session is ended.
  Duration LostAfter_ = std::chrono::seconds(5);
  /// Factor by which these times are longer on a standby link.
  std::int64_t StandbyFactor_ = 10;
  SessionLimits Session_;
};

/// All links of one process: connections, sessions with peer incarnations, and
/// the failure detector. A state machine without I/O.
///
/// A session that one end has ended cannot be resumed at either end. If the
/// peer becomes reachable again in the same incarnation, a new session with a
/// higher number begins with PeerUp; an end that still has the old session gets
/// PeerLost first.
class Links {
public:
  Links(PeerId Self, ZoneName Zone, RegionName Region, LinkLimits Limits);

  /// A connection that this process dialled is established.
  LinkOutputs onDialled(ConnectionId C, Time Now);
  /// A connection that a peer dialled is established. Its Hello must arrive
  /// within SuspectAfter_.
  void onAccepted(ConnectionId C, Time Now);
  LinkOutputs onFrame(ConnectionId C, const Frame &F, Time Now);
  /// The transport lost or closed the connection.
  LinkOutputs onClosed(ConnectionId C, Time Now);
  /// A frame could not be decoded. Closes the connection, and ends the session
  /// if the frame comes again in place of the messages that are due.
  LinkOutputs onBadFrame(ConnectionId C, const Error &Reason, Time Now);
  /// Queues a message for the peer's current session, to be sent by the next
  /// flush. Ignored if the peer has no session.
  LinkOutputs send(const PeerId &To, Message M, Time Now);
  /// Switches the link of the current session to or from standby. On standby,
  /// heartbeats are rare and the timeouts longer. Both ends must switch.
  void setStandby(const PeerId &P, bool Standby, Time Now);
  /// Batches queued messages into frames.
  LinkOutputs flush(Time Now);
  /// Sends heartbeats and evaluates the timeouts. Must be called at least once
  /// per Heartbeat_.
  LinkOutputs onTimer(Time Now);

  /// True if there is a session with this incarnation.
  bool isUp(const PeerId &P) const;
  /// True if isUp and the peer is not suspected.
  bool isReachable(const PeerId &P) const;
  /// True if every message sent in a current session has been acknowledged;
  /// with ReachableOnly, sessions with suspected peers are ignored.
  bool allAcknowledged(bool ReachableOnly) const;
  /// Reachable entry incarnations, for EntriesHeard.
  std::vector<EntryId> reachableEntries() const;
  /// True once both ends have said Hello on this connection.
  bool isIdentified(ConnectionId C) const;

private:
  using PeerKey = std::pair<Role, std::string>;
  struct Connection {
    bool Dialled_ = false;
    Time OpenedAt_;
    /// Identity that the dialling side stated in its first Hello; its
    /// confirmation must repeat it.
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
    /// When the peer last acknowledged a new message, or had none to
    /// acknowledge.
    Time LastProgressAt_;
    std::uint64_t LastAcknowledged_ = 0;
    /// A frame could not be decoded since the last one with messages.
    bool HadBadFrame_ = false;
    /// Superseded incarnations of this name; their connections are rejected.
    std::set<Incarnation> SupersededIncarnations_;
  };

  Hello makeHello(const PeerId &To) const;
  void onHello(ConnectionId C, const Hello &H, Time Now, LinkOutputs &Out);
  bool acceptIdentity(ConnectionId C, const Hello &H, LinkOutputs &Out);
  void answerHello(ConnectionId C, const Hello &H, LinkOutputs &Out);
  PeerState &adoptIncarnation(const PeerId &Id, LinkOutputs &Out);
  void alignSession(PeerState &P, const Hello &H, Time Now, LinkOutputs &Out);
  /// True if both ends dialled at the same time and both prefer the connection
  /// in use to C.
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
  /// Period, or a multiple of it while the link of the peer is on standby.
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
