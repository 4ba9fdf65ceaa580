#ifndef CHIVELANDING_CONFIG_DELTA_H
#define CHIVELANDING_CONFIG_DELTA_H

#include "config_objects.h"
#include "config_state_machine.h"
#include "message.h"

#include <string>
#include <vector>

namespace chivelanding {

/// Effect of a field change on the users of the object: a limit or guarantee is
/// lowered (Tightens) or raised (Loosens).
enum class FieldEffect : std::uint8_t { Neutral, Tightens, Loosens };

struct FieldChange {
  std::string Key_;
  /// Empty if the field is absent.
  std::string Before_;
  std::string After_;
  FieldEffect Effect_ = FieldEffect::Neutral;
};

struct ObjectChange {
  enum class Kind : std::uint8_t { Added, Removed, Changed };
  Kind Kind_ = Kind::Changed;
  ObjectType Type_ = ObjectType::Team;
  std::string Name_;
  std::vector<FieldChange> Fields_;

  std::string label() const;
};
const char *changeKindName(ObjectChange::Kind K);

/// Differences between two sets, by type and name of the objects.
std::vector<ObjectChange> diffSets(const ConfigSet &Before,
                                   const ConfigSet &After);

/// The message that turns Before into After.
ConfigDelta makeDelta(const AcceptedConfig &Before,
                      const AcceptedConfig &After);

/// Applies a delta. Error code: bad_delta (another base, invalid objects, or a
/// result whose hash is not the stated one).
Result<AcceptedPtr> applyDelta(const AcceptedConfig &Before,
                               const ConfigDelta &Delta);

} // namespace chivelanding

#endif
