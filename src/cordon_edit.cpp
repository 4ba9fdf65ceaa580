#include "cordon_edit.h"
#include "config_check.h"

namespace chivelanding {

namespace {

std::string reasonFor(const CordonEdit &Edit) {
  if (Edit.Lifts_)
    return "lift cordon " + Edit.Name_;
  std::string Text = "set cordon " + Edit.Name_ + " of zone " + Edit.Zone_;
  return Edit.Note_.empty() ? Text : Text + ": " + Edit.Note_;
}

ConfigObject makeCordon(const CordonEdit &Edit) {
  ConfigObject Object;
  Object.Type_ = ObjectType::Cordon;
  Object.Name_ = Edit.Name_;
  Object.Fields_["zone"].Text_ = Edit.Zone_;
  if (!Edit.Note_.empty())
    Object.Fields_["note"].Text_ = Edit.Note_;
  return Object;
}

} // namespace

std::set<ZoneName> cordonedZones(const ConfigSet &Set) {
  std::set<ZoneName> Zones;
  for (const ConfigObject *Cordon : Set.all(ObjectType::Cordon))
    Zones.insert(ZoneName(Cordon->text("zone")));
  return Zones;
}

std::vector<Event> makeCordonEvents(const std::set<ZoneName> &Before,
                                    const std::set<ZoneName> &After,
                                    ConfigVersion Version) {
  std::vector<Event> Events;
  const auto Add = [&](const EventType &Type, const ZoneName &Zone) {
    Events.push_back(
        {&Type,
         {{"zone", Zone.str()}, {"version", std::to_string(Version.value())}}});
  };
  for (const ZoneName &Zone : After)
    if (Before.count(Zone) == 0)
      Add(events::ZoneCordoned, Zone);
  for (const ZoneName &Zone : Before)
    if (After.count(Zone) == 0)
      Add(events::ZoneCordonLifted, Zone);
  return Events;
}

// The object is written as text and checked with the whole set, so that a bad
// name or note is refused as in any other change.
PreparedCordon prepareCordon(const CordonEdit &Edit,
                             const AcceptedConfig &Base) {
  PreparedCordon Prepared;
  ChangeRecord &Change = Prepared.Change_;
  Change.Id_ = Edit.Id_;
  Change.Base_ = Base.Version_;
  Change.Author_ = Edit.Author_;
  Change.Reason_ = reasonFor(Edit);
  ConfigSet Set = Base.Set_;
  const ObjectKey Key{ObjectType::Cordon, Edit.Name_};
  Set.Objects_.erase(Key);
  if (!Edit.Lifts_)
    Set.Objects_.emplace(Key, makeCordon(Edit));
  const std::string Toml = Set.toml();
  Prepared.IsUnchanged_ = Toml == Base.Toml_;
  if (Prepared.IsUnchanged_)
    return Prepared;
  ParsedConfig Config = checkConfig({{"request", Toml}});
  Prepared.Problems_ = std::move(Config.Problems_);
  Change.Toml_ = Config.Set_.toml();
  return Prepared;
}

} // namespace chivelanding
