#include "dispatch_config.h"

#include <algorithm>

namespace chivelanding {

DispatchConfig::DispatchConfig(ConfigVersion Version,
                               std::vector<JobRoute> Routes,
                               std::set<ServiceName> Services)
    : Version_(Version), Routes_(std::move(Routes)),
      Services_(std::move(Services)) {
  for (std::size_t I = 0; I < Routes_.size(); ++I)
    ByHost_[Routes_[I].Host_].push_back(I);
  for (auto &[Host, Positions] : ByHost_)
    std::stable_sort(Positions.begin(), Positions.end(),
                     [this](std::size_t A, std::size_t B) {
                       return Routes_[A].PathPrefix_.size() >
                              Routes_[B].PathPrefix_.size();
                     });
}

const JobRoute *DispatchConfig::find(std::string_view Host,
                                     std::string_view Path) const {
  const auto It = ByHost_.find(Host);
  if (It == ByHost_.end())
    return nullptr;
  for (const std::size_t I : It->second)
    if (Path.substr(0, Routes_[I].PathPrefix_.size()) == Routes_[I].PathPrefix_)
      return &Routes_[I];
  return nullptr;
}

} // namespace chivelanding
