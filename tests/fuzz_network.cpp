#include "fuzz_network.h"

namespace chivelanding::fuzz {

void EventScheduler::at(Time When, std::function<void()> Do) {
  Events_.push({std::max(When, Now_), NextOrder_++, std::move(Do)});
}

void EventScheduler::runUntil(Time End) {
  while (!Events_.empty() && Events_.top().At_ <= End) {
    const Event Next = Events_.top();
    Events_.pop();
    Now_ = Next.At_;
    Next.Do_();
  }
  Now_ = End;
}

Network::Network(EventScheduler &Scheduler, std::uint64_t Seed,
                 NetworkDelays Delays)
    : Scheduler_(Scheduler), Random_(Seed), Delays_(Delays) {}

void Network::attach(const std::string &Name, const std::string &Zone,
                     Receiver *Target) {
  Process &P = Processes_[Name];
  P.Zone_ = Zone;
  ++P.Generation_;
  P.Receiver_ = Target;
}

void Network::detach(const std::string &Name, bool Abrupt) {
  Processes_[Name].Receiver_ = nullptr;
  std::vector<ConnectionId> OwnConnections;
  for (const auto &[Id, C] : Connections_)
    if (sideOf(C, Name) >= 0)
      OwnConnections.push_back(Id);
  for (const ConnectionId Id : OwnConnections) {
    if (!Abrupt) {
      close(Id, Name);
      continue;
    }
    Connection &C = Connections_[Id];
    C.Sides_[sideOf(C, Name)].Open_ = false;
    eraseIfClosed(Id);
  }
}

Duration Network::delay(const std::string &From, const std::string &To) {
  const bool Same = Processes_[From].Zone_ == Processes_[To].Zone_;
  Duration D = Same ? Delays_.SameZone_ : Delays_.OtherZone_;
  if (Jitter_.count() > 0)
    D += Duration(static_cast<std::int64_t>(
        Random_() % static_cast<std::uint64_t>(Jitter_.count())));
  return D;
}

bool Network::isPartitioned(const std::string &From,
                            const std::string &To) const {
  return Partitions_.count({From, To}) != 0;
}

int Network::sideOf(const Connection &C, const std::string &Name) const {
  for (int I = 0; I < 2; ++I)
    if (C.Sides_[I].Open_ && C.Sides_[I].Name_ == Name)
      return I;
  return -1;
}

// Bytes that were sent to an earlier process of the same name are not delivered
// to its replacement.
Receiver *Network::receiver(const Side &S) const {
  const auto It = Processes_.find(S.Name_);
  if (It == Processes_.end() || It->second.Generation_ != S.Generation_)
    return nullptr;
  return It->second.Receiver_;
}

void Network::eraseIfClosed(ConnectionId C) {
  const auto It = Connections_.find(C);
  if (It != Connections_.end() && !It->second.Sides_[0].Open_ &&
      !It->second.Sides_[1].Open_)
    Connections_.erase(It);
}

void Network::dial(const std::string &From, const std::string &To) {
  const auto It = Processes_.find(To);
  if (It == Processes_.end() || !It->second.Receiver_ ||
      isPartitioned(From, To) || isPartitioned(To, From))
    return;
  const ConnectionId Id(NextConnection_++);
  Connection &C = Connections_[Id];
  C.Sides_[0] = {From, Processes_[From].Generation_, true, false, {}, {}};
  C.Sides_[1] = {To, It->second.Generation_, true, false, {}, {}};
  deliver(Id, 0, [this, Id] {
    if (Receiver *R = receiver(Connections_[Id].Sides_[1]))
      R->onAccepted(Id);
    if (Connections_.count(Id) != 0)
      deliver(Id, 1, [this, Id] {
        if (Receiver *R = receiver(Connections_[Id].Sides_[0]))
          R->onDialled(Id);
      });
  });
}

void Network::deliver(ConnectionId Id, int From, std::function<void()> Do) {
  Connection &C = Connections_[Id];
  Side &Sender = C.Sides_[From];
  const Duration D = delay(Sender.Name_, C.Sides_[1 - From].Name_);
  Sender.LastArrival_ = std::max(Sender.LastArrival_, Scheduler_.now() + D);
  Scheduler_.at(Sender.LastArrival_,
                [this, Id, From, Do = std::move(Do)] { arrive(Id, From, Do); });
}

// To keep the order, a delivery is held back as well while earlier ones of its
// direction are still held.
void Network::arrive(ConnectionId Id, int From,
                     const std::function<void()> &Do) {
  const auto It = Connections_.find(Id);
  if (It == Connections_.end() || !It->second.Sides_[1 - From].Open_)
    return;
  Side &Sender = It->second.Sides_[From];
  if (Sender.DropsTraffic_)
    return;
  if (!Sender.Held_.empty() ||
      isPartitioned(Sender.Name_, It->second.Sides_[1 - From].Name_)) {
    Sender.Held_.push_back(Do);
    return;
  }
  Do();
}

void Network::send(ConnectionId Id, const std::string &From,
                   std::string Bytes) {
  const auto It = Connections_.find(Id);
  const int Side = It == Connections_.end() ? -1 : sideOf(It->second, From);
  if (Side < 0)
    return;
  std::vector<std::string> Frames = {std::move(Bytes)};
  if (Mutate_)
    Frames = Mutate_(From, Frames[0]);
  if (LossPermille_ > 0 && Random_() % 1000 < LossPermille_)
    return;
  if (RepeatPermille_ > 0 && Random_() % 1000 < RepeatPermille_)
    Frames.push_back(Frames[0]);
  for (std::string &F : Frames) {
    ++Frames_;
    deliver(Id, Side, [this, Id, Side, F = std::move(F)] {
      if (Receiver *R = receiver(Connections_[Id].Sides_[1 - Side]))
        R->onBytes(Id, F);
    });
  }
}

void Network::close(ConnectionId Id, const std::string &From) {
  const auto It = Connections_.find(Id);
  const int Side = It == Connections_.end() ? -1 : sideOf(It->second, From);
  if (Side < 0)
    return;
  It->second.Sides_[Side].Open_ = false;
  if (!It->second.Sides_[1 - Side].Open_) {
    eraseIfClosed(Id);
    return;
  }
  deliver(Id, Side, [this, Id, Side] {
    Receiver *R = receiver(Connections_[Id].Sides_[1 - Side]);
    Connections_[Id].Sides_[1 - Side].Open_ = false;
    eraseIfClosed(Id);
    if (R)
      R->onClosed(Id);
  });
}

void Network::closeAll(const std::string &Name) {
  std::vector<ConnectionId> OwnConnections;
  for (const auto &[Id, C] : Connections_)
    if (sideOf(C, Name) >= 0)
      OwnConnections.push_back(Id);
  for (const ConnectionId Id : OwnConnections)
    close(Id, Name);
}

void Network::partition(const std::string &From, const std::string &To) {
  Partitions_.insert({From, To});
}

void Network::heal() {
  Partitions_.clear();
  for (auto &[Id, C] : Connections_) {
    for (int I = 0; I < 2; ++I) {
      std::deque<std::function<void()>> HeldDeliveries;
      HeldDeliveries.swap(C.Sides_[I].Held_);
      for (auto &Do : HeldDeliveries)
        deliver(Id, I, std::move(Do));
    }
  }
}

void Network::dropTraffic(const std::string &A, const std::string &B,
                          bool BothWays) {
  for (auto &[Id, C] : Connections_) {
    const int Side = sideOf(C, A);
    if (Side < 0 || C.Sides_[1 - Side].Name_ != B)
      continue;
    C.Sides_[Side].DropsTraffic_ = true;
    C.Sides_[1 - Side].DropsTraffic_ =
        C.Sides_[1 - Side].DropsTraffic_ || BothWays;
  }
}

void Network::setFrameFaults(std::uint32_t LossPermille,
                             std::uint32_t RepeatPermille, Duration Jitter) {
  LossPermille_ = LossPermille;
  RepeatPermille_ = RepeatPermille;
  Jitter_ = Jitter;
}

} // namespace chivelanding::fuzz
