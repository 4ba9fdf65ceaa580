#ifndef CHIVELANDING_TESTS_FUZZ_NETWORK_H
#define CHIVELANDING_TESTS_FUZZ_NETWORK_H

#include "link.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivelanding::fuzz {

/// Runs events in virtual time, ordered by time and then by insertion.
class EventScheduler {
public:
  Time now() const { return Now_; }
  void at(Time When, std::function<void()> Do);
  void after(Duration Delay, std::function<void()> Do) {
    at(Now_ + Delay, std::move(Do));
  }
  /// Runs every event due by End and sets the time to End.
  void runUntil(Time End);

private:
  struct Event {
    Time At_;
    std::uint64_t Order_;
    std::function<void()> Do_;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At_, Other.Order_) < std::tie(At_, Order_);
    }
  };
  Time Now_{std::chrono::hours(1)};
  std::uint64_t NextOrder_ = 0;
  std::priority_queue<Event> Events_;
};

/// Receives connection events and bytes for one process.
class Receiver {
public:
  virtual ~Receiver() = default;
  virtual void onDialled(ConnectionId C) = 0;
  virtual void onAccepted(ConnectionId C) = 0;
  virtual void onBytes(ConnectionId C, const std::string &Bytes) = 0;
  virtual void onClosed(ConnectionId C) = 0;
};

/// One-way delays within a zone and between two zones.
struct NetworkDelays {
  Duration SameZone_ = std::chrono::microseconds(200);
  Duration OtherZone_ = std::chrono::microseconds(1500);
};

/// Ordered connections between named processes, with faults. A partition has a
/// direction: it holds back what existing connections carry that way until it
/// heals, and new connections between the two processes fail in both
/// directions. Dropped traffic is lost on existing connections only.
class Network {
public:
  Network(EventScheduler &Scheduler, std::uint64_t Seed, NetworkDelays Delays);

  /// Registers a running process. Target must stay valid until detach().
  void attach(const std::string &Name, const std::string &Zone,
              Receiver *Target);
  /// Removes a process. If Abrupt, its connections are not closed toward the
  /// peers, as when a VM loses power.
  void detach(const std::string &Name, bool Abrupt);

  void dial(const std::string &From, const std::string &To);
  void send(ConnectionId C, const std::string &From, std::string Bytes);
  void close(ConnectionId C, const std::string &From);

  /// Closes every connection of a process that keeps running.
  void closeAll(const std::string &Name);

  void partition(const std::string &From, const std::string &To);
  void heal();
  /// Drops all further bytes from A to B on their existing connections, and
  /// from B to A as well if BothWays.
  void dropTraffic(const std::string &A, const std::string &B, bool BothWays);
  /// Sets the shares of lost and of repeated frames, in thousandths, and the
  /// bound of the random delay that is added to each frame.
  void setFrameFaults(std::uint32_t LossPermille, std::uint32_t RepeatPermille,
                      Duration Jitter);

  /// If set, each frame is replaced by the frames that this returns; used to
  /// inject protocol violations.
  std::function<std::vector<std::string>(const std::string &From,
                                         const std::string &Bytes)>
      Mutate_;
  std::uint64_t frames() const { return Frames_; }

private:
  struct Side {
    std::string Name_;
    std::uint64_t Generation_ = 0;
    bool Open_ = false;
    /// Bytes sent to the other side are lost.
    bool DropsTraffic_ = false;
    Time LastArrival_;
    /// Deliveries that a partition holds back.
    std::deque<std::function<void()>> Held_;
  };
  struct Connection {
    Side Sides_[2];
  };
  struct Process {
    std::string Zone_;
    std::uint64_t Generation_ = 0;
    Receiver *Receiver_ = nullptr;
  };

  Duration delay(const std::string &From, const std::string &To);
  bool isPartitioned(const std::string &From, const std::string &To) const;
  int sideOf(const Connection &C, const std::string &Name) const;
  Receiver *receiver(const Side &S) const;
  /// Schedules a delivery from one side of a connection to the other, in order.
  void deliver(ConnectionId C, int From, std::function<void()> Do);
  void arrive(ConnectionId C, int From, const std::function<void()> &Do);
  void eraseIfClosed(ConnectionId C);

  EventScheduler &Scheduler_;
  std::mt19937_64 Random_;
  NetworkDelays Delays_;
  std::map<std::string, Process> Processes_;
  std::map<ConnectionId, Connection> Connections_;
  std::set<std::pair<std::string, std::string>> Partitions_;
  std::uint64_t NextConnection_ = 1;
  std::uint32_t LossPermille_ = 0;
  std::uint32_t RepeatPermille_ = 0;
  Duration Jitter_{0};
  std::uint64_t Frames_ = 0;
};

} // namespace chivelanding::fuzz

#endif
