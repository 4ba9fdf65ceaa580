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

/// Virtual time and the events to come, in a fixed order.
class EventScheduler {
public:
  Time now() const { return Now_; }
  void at(Time When, std::function<void()> Do);
  void after(Duration Delay, std::function<void()> Do) {
    at(Now_ + Delay, std::move(Do));
  }
  /// Runs every event up to this time, then stops there.
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

/// Receives what the network delivers to one process.
class Receiver {
public:
  virtual ~Receiver() = default;
  virtual void onDialled(ConnectionId C) = 0;
  virtual void onAccepted(ConnectionId C) = 0;
  virtual void onBytes(ConnectionId C, const std::string &Bytes) = 0;
  virtual void onClosed(ConnectionId C) = 0;
};

/// Delays in one direction between two zones.
struct NetworkDelays {
  Duration SameZone_ = std::chrono::microseconds(200);
  Duration OtherZone_ = std::chrono::microseconds(1500);
};

/// Ordered connections between named processes, with faults. A cut holds back
/// the bytes of existing connections and refuses new ones; a silenced
/// connection loses everything while new ones work.
class Network {
public:
  Network(EventScheduler &Scheduler, std::uint64_t Seed, NetworkDelays Delays);

  /// Registers a running process; Target must outlive its entry.
  void attach(const std::string &Name, const std::string &Zone,
              Receiver *Target);
  /// Removes a process. If Abrupt, its peers hear nothing of it.
  void detach(const std::string &Name, bool Abrupt);

  void dial(const std::string &From, const std::string &To);
  void send(ConnectionId C, const std::string &From, std::string Bytes);
  void close(ConnectionId C, const std::string &From);

  /// Closes every connection of a process that goes on.
  void closeAll(const std::string &Name);

  void partition(const std::string &From, const std::string &To);
  void heal();
  /// Silences the connections between two processes, in one or both
  /// directions.
  void dropTraffic(const std::string &A, const std::string &B, bool BothWays);
  /// Frames lost and repeated, in thousandths; extra delay of each frame.
  void setFrameFaults(std::uint32_t LossPermille, std::uint32_t RepeatPermille,
                      Duration Jitter);

  /// Changes bytes on the way; used to break rules on purpose.
  std::function<std::vector<std::string>(const std::string &From,
                                         const std::string &Bytes)>
      Mutate_;
  std::uint64_t frames() const { return Frames_; }

private:
  struct Side {
    std::string Name_;
    std::uint64_t Generation_ = 0;
    bool Open_ = false;
    /// Bytes toward the other side are lost.
    bool DropsTraffic_ = false;
    Time LastArrival_;
    /// Deliveries that a cut holds back.
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
  /// Delivers in order from one side of a connection to the other.
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
