#ifndef CHIVELANDING_CORDON_EDIT_H
#define CHIVELANDING_CORDON_EDIT_H

#include "config_state_machine.h"
#include "events.h"

#include <set>
#include <string>
#include <vector>

namespace chivelanding {

/// A zone is cordoned while the configuration has an object of type cordon for
/// it: no task starts at an endpoint of the zone.
std::set<ZoneName> cordonedZones(const ConfigSet &Set);

/// An event for each zone that a version cordons or lifts.
std::vector<Event> makeCordonEvents(const std::set<ZoneName> &Before,
                                    const std::set<ZoneName> &After,
                                    ConfigVersion Version);

/// An operator's change of one cordon, independent of a version.
struct CordonEdit {
  /// Removes the object Name_ instead of writing it.
  bool Lifts_ = false;
  std::string Name_;
  std::string Zone_;
  std::string Note_;
  std::string Author_;
  /// Id of the change in every attempt to publish it.
  std::string Id_;
};

/// An edit applied to one version.
struct PreparedCordon {
  /// The change to publish on this version.
  ChangeRecord Change_;
  /// The version already matches the edit.
  bool IsUnchanged_ = false;
  /// Errors of the resulting set; nothing may be published if there are any.
  std::vector<ConfigProblem> Problems_;
};
PreparedCordon prepareCordon(const CordonEdit &Edit,
                             const AcceptedConfig &Base);

} // namespace chivelanding

#endif
