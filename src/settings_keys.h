#ifndef CHIVELANDING_SETTINGS_KEYS_H
#define CHIVELANDING_SETTINGS_KEYS_H

#include "settings.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chivelanding {

/// One key of a settings table: the member that it sets, the range of numbers
/// in the file's unit, and its description for docs/settings.md.
template <typename T> struct Key {
  using Member =
      std::variant<std::string T::*, ZoneName T::*, RegionName T::*,
                   ServiceName T::*, Duration T::*, std::uint32_t T::*,
                   std::uint64_t T::*, SocketAddress T::*,
                   std::vector<SocketAddress> T::*>;
  const char *Name_;
  Member Member_;
  std::int64_t Min_;
  std::int64_t Max_;
  bool Required_;
  const char *Description_;
};

const std::vector<Key<ProcessSettings>> &processKeys();
const std::vector<Key<ResourceLimits>> &resourceKeys();
const std::vector<Key<EntrySettings>> &entryKeys();
const std::vector<Key<AgentSettings>> &agentKeys();
const std::vector<Key<LeaseSettings>> &leaseKeys();
const std::vector<Key<CordonSettings>> &cordonKeys();
const std::vector<Key<DispatchEntrySettings>> &dispatchEntryKeys();
const std::vector<Key<DispatchAgentSettings>> &dispatchAgentKeys();

} // namespace chivelanding

#endif
