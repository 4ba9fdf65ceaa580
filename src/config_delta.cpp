#include "config_delta.h"
#include "digest.h"

#include <limits>

namespace chivelanding {

namespace {

FieldEffect fieldEffect(const FieldRule &Rule, const ConfigObject &Before,
                        const ConfigObject &After) {
  if (Rule.Bound_ == BoundKind::None)
    return FieldEffect::Neutral;
  const std::int64_t Absent = Rule.Bound_ == BoundKind::UpperBound
                                  ? std::numeric_limits<std::int64_t>::max()
                                  : 0;
  const std::int64_t Old = Before.number(Rule.Key_).value_or(Absent);
  const std::int64_t New = After.number(Rule.Key_).value_or(Absent);
  if (Old == New)
    return FieldEffect::Neutral;
  return New < Old ? FieldEffect::Tightens : FieldEffect::Loosens;
}

std::vector<FieldChange> diffFields(const ConfigObject &Before,
                                    const ConfigObject &After) {
  std::vector<FieldChange> Changes;
  for (const FieldRule &Rule : fieldRules(After.Type_)) {
    const std::string Old = Before.text(Rule.Key_);
    const std::string New = After.text(Rule.Key_);
    if (Old != New)
      Changes.push_back(
          {Rule.Key_, Old, New, fieldEffect(Rule, Before, After)});
  }
  return Changes;
}

ObjectChange makeObjectChange(ObjectChange::Kind Kind, const ObjectKey &Key) {
  ObjectChange Change;
  Change.Kind_ = Kind;
  Change.Type_ = Key.first;
  Change.Name_ = Key.second;
  return Change;
}

std::string formatKey(const ObjectKey &Key) {
  return std::string(objectTypeName(Key.first)) + " " + Key.second;
}

} // namespace

std::string ObjectChange::label() const { return formatKey({Type_, Name_}); }

const char *changeKindName(ObjectChange::Kind K) {
  static constexpr const char *Names[] = {"added", "removed", "changed"};
  return Names[static_cast<std::size_t>(K)];
}

std::vector<ObjectChange> diffSets(const ConfigSet &Before,
                                   const ConfigSet &After) {
  std::vector<ObjectChange> Changes;
  for (const auto &[Key, Old] : Before.Objects_) {
    if (!After.find(Key.first, Key.second))
      Changes.push_back(makeObjectChange(ObjectChange::Kind::Removed, Key));
  }
  for (const auto &[Key, New] : After.Objects_) {
    const ConfigObject *Old = Before.find(Key.first, Key.second);
    if (!Old) {
      Changes.push_back(makeObjectChange(ObjectChange::Kind::Added, Key));
      continue;
    }
    auto Fields = diffFields(*Old, New);
    if (Fields.empty())
      continue;
    Changes.push_back(makeObjectChange(ObjectChange::Kind::Changed, Key));
    Changes.back().Fields_ = std::move(Fields);
  }
  return Changes;
}

ConfigDelta makeDelta(const AcceptedConfig &Before,
                      const AcceptedConfig &After) {
  ConfigDelta Delta;
  Delta.Base_ = Before.Version_;
  Delta.Version_ = After.Version_;
  Delta.Hash_ = After.Hash_;
  for (const ObjectChange &Change : diffSets(Before.Set_, After.Set_)) {
    if (Change.Kind_ == ObjectChange::Kind::Removed)
      Delta.Removed_.push_back(Change.label());
    else
      Delta.Toml_ += After.Set_.find(Change.Type_, Change.Name_)->toml();
  }
  return Delta;
}

// The hash of the whole result is compared with the sender's, so that any
// difference in the base is detected and the whole set is requested.
Result<AcceptedPtr> applyDelta(const AcceptedConfig &Before,
                               const ConfigDelta &Delta) {
  const Error BadDelta{"bad_delta", "apply configuration change", "",
                       "the delta does not apply to the state of this process"};
  if (Delta.Base_ != Before.Version_ || Delta.Version_ <= Before.Version_)
    return BadDelta;
  ParsedConfig Changed = parseConfig({{"change", Delta.Toml_}});
  if (!Changed.Problems_.empty())
    return BadDelta;
  auto After = std::make_shared<AcceptedConfig>();
  After->Version_ = Delta.Version_;
  After->Set_ = Before.Set_;
  for (const std::string &Label : Delta.Removed_) {
    const auto Type = objectTypeByName(Label.substr(0, Label.find(' ')));
    if (!Type)
      return BadDelta;
    After->Set_.Objects_.erase({*Type, Label.substr(Label.find(' ') + 1)});
  }
  for (auto &[Key, Object] : Changed.Set_.Objects_)
    After->Set_.Objects_[Key] = std::move(Object);
  After->Toml_ = After->Set_.toml();
  After->Hash_ = shortDigest(After->Toml_);
  if (After->Hash_ != Delta.Hash_)
    return BadDelta;
  return AcceptedPtr(std::move(After));
}

} // namespace chivelanding
