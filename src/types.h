#ifndef CHIVELANDING_TYPES_H
#define CHIVELANDING_TYPES_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <utility>

namespace chivelanding {

/// Clock type of the process-local monotonic time line. It has no now():
/// decision code receives the current time as an argument.
struct MonotonicTimeline {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
};

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;
/// Point on the monotonic time line of this process.
using Time = std::chrono::time_point<MonotonicTimeline, Duration>;

/// A string that names one kind of object; names of different kinds do not
/// convert into each other.
template <typename Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text_(std::move(Text)) {}

  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }

  friend bool operator==(const Name &A, const Name &B) {
    return A.Text_ == B.Text_;
  }
  friend bool operator!=(const Name &A, const Name &B) { return !(A == B); }
  friend bool operator<(const Name &A, const Name &B) {
    return A.Text_ < B.Text_;
  }

private:
  std::string Text_;
};

/// A number of one kind; numbers of different kinds do not convert into each
/// other.
template <typename Tag, typename Rep = std::uint64_t> class Number {
public:
  constexpr Number() = default;
  explicit constexpr Number(Rep Value) : Value_(Value) {}

  constexpr Rep value() const { return Value_; }
  Number &operator++() {
    ++Value_;
    return *this;
  }

  friend constexpr bool operator==(Number A, Number B) {
    return A.Value_ == B.Value_;
  }
  friend constexpr bool operator!=(Number A, Number B) { return !(A == B); }
  friend constexpr bool operator<(Number A, Number B) {
    return A.Value_ < B.Value_;
  }
  friend constexpr bool operator<=(Number A, Number B) { return !(B < A); }
  friend constexpr bool operator>(Number A, Number B) { return B < A; }
  friend constexpr bool operator>=(Number A, Number B) { return !(A < B); }

private:
  Rep Value_ = 0;
};

using TeamName = Name<struct TeamTag>;
using ServiceName = Name<struct ServiceTag>;
using KindName = Name<struct KindTag>;
using ZoneName = Name<struct ZoneTag>;
using RegionName = Name<struct RegionTag>;
using RackName = Name<struct RackTag>;
using JobKey = Name<struct JobKeyTag>;

/// Random number that a process draws when it starts or rejoins; distinguishes
/// it from earlier processes of the same name.
using Incarnation = Number<struct IncarnationTag>;
/// Value of an entry's token epoch counter.
using Epoch = Number<struct EpochTag>;
/// Position of a task in its job, from 0.
using TaskIndex = Number<struct TaskIndexTag, std::uint32_t>;
/// Version of the accepted configuration; 0 before the first.
using ConfigVersion = Number<struct ConfigVersionTag>;
/// Priority class; 0 is the most urgent.
using PriorityClass = Number<struct PriorityClassTag, std::uint32_t>;

/// One incarnation of a process: its configured name and its random number.
template <typename Tag> struct Peer {
  std::string Name_;
  Incarnation Incarnation_;

  /// Text form NAME@HEX for logs.
  std::string str() const;

  friend bool operator==(const Peer &A, const Peer &B) {
    return A.Incarnation_ == B.Incarnation_ && A.Name_ == B.Name_;
  }
  friend bool operator!=(const Peer &A, const Peer &B) { return !(A == B); }
  friend bool operator<(const Peer &A, const Peer &B) {
    return std::tie(A.Name_, A.Incarnation_) <
           std::tie(B.Name_, B.Incarnation_);
  }
};

using EntryId = Peer<struct EntryTag>;
using AgentId = Peer<struct AgentTag>;

/// Lower-case hexadecimal text of a number, without leading zeros.
std::string toHex(std::uint64_t Value);

template <typename Tag> std::string Peer<Tag>::str() const {
  return Name_ + "@" + toHex(Incarnation_.value());
}

} // namespace chivelanding

template <typename Tag> struct std::hash<chivelanding::Name<Tag>> {
  std::size_t operator()(const chivelanding::Name<Tag> &N) const noexcept {
    return std::hash<std::string>()(N.str());
  }
};

template <typename Tag> struct std::hash<chivelanding::Peer<Tag>> {
  std::size_t operator()(const chivelanding::Peer<Tag> &P) const noexcept {
    return std::hash<std::string>()(P.Name_) ^ P.Incarnation_.value();
  }
};

#endif
