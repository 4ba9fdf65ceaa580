#ifndef CHIVELANDING_SERVICE_REGISTRY_H
#define CHIVELANDING_SERVICE_REGISTRY_H

#include "result.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chivelanding {

/// A part of a process with a life of its own.
class Service {
public:
  Service() = default;
  Service(const Service &) = delete;
  Service &operator=(const Service &) = delete;
  virtual ~Service() = default;
  /// Opens sockets and timers. The services added before are running.
  virtual Result<Done> start() { return Done(); }
  /// Closes what start() opened. The services added before are still running.
  virtual void stop() {}
  /// Asks for an orderly end; the service itself tells when it is done.
  virtual void drain() {}
};

/// Registry in which the services of a process find each other by name. They
/// are started in the order of addition and stopped in reverse.
class ServiceRegistry {
public:
  ~ServiceRegistry();

  /// Names must be unique; a second service of a name is never found.
  template <typename T> T &add(std::string Name, std::unique_ptr<T> S) {
    T &Added = *S;
    Services_.emplace_back(std::move(Name), std::move(S));
    return Added;
  }

  /// Null if no service has this name and type.
  template <typename T> T *find(const std::string &Name) const {
    for (const auto &[RegisteredName, S] : Services_)
      if (RegisteredName == Name)
        return dynamic_cast<T *>(S.get());
    return nullptr;
  }

  /// Stops what it started if one service fails, and returns its error.
  Result<Done> start();
  void stop();
  void drain();

private:
  std::vector<std::pair<std::string, std::unique_ptr<Service>>> Services_;
  std::size_t StartedCount_ = 0;
};

} // namespace chivelanding

#endif
