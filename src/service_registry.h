#ifndef CHIVELANDING_SERVICE_REGISTRY_H
#define CHIVELANDING_SERVICE_REGISTRY_H

#include "result.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chivelanding {

/// A component of a process that is started and stopped with it.
class Service {
public:
  Service() = default;
  Service(const Service &) = delete;
  Service &operator=(const Service &) = delete;
  virtual ~Service() = default;
  /// Opens sockets and timers. The services added earlier are already running.
  virtual Result<Done> start() { return Done(); }
  /// Closes what start() opened. The services added earlier are still running.
  virtual void stop() {}
  /// Begins an orderly shutdown and returns. The service stops the io_context
  /// once the shutdown is complete.
  virtual void drain() {}
};

/// Owns the services of a process, which are found by name. They are started in
/// the order of addition and stopped in reverse order.
class ServiceRegistry {
public:
  ~ServiceRegistry();

  /// Names must be unique; find() returns only the first service of a name.
  template <typename T> T &add(std::string Name, std::unique_ptr<T> S) {
    T &Added = *S;
    Services_.emplace_back(std::move(Name), std::move(S));
    return Added;
  }

  /// Returns null if no service has this name and type.
  template <typename T> T *find(const std::string &Name) const {
    for (const auto &[RegisteredName, S] : Services_)
      if (RegisteredName == Name)
        return dynamic_cast<T *>(S.get());
    return nullptr;
  }

  /// If a service fails to start, stops the ones already started and returns
  /// the error.
  Result<Done> start();
  void stop();
  void drain();

private:
  std::vector<std::pair<std::string, std::unique_ptr<Service>>> Services_;
  std::size_t StartedCount_ = 0;
};

} // namespace chivelanding

#endif
