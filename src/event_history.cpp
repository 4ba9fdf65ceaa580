#include "event_history.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace chivelanding {
namespace {

using Json = nlohmann::json;

// Fields that are not appended as NAME=VALUE: the time and the event stand at
// the start of a line, the others carry no information within one history.
constexpr const char *SkippedFields[] = {"time_ms", "event", "number", "level",
                                         "job"};

std::string valueText(const Json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string formatLine(const Json &Event, const std::string &Prefix) {
  std::string Line = valueText(Event.value("event", Json("?")));
  for (const auto &[Key, Value] : Event.items()) {
    const std::string &Name = Key;
    if (std::any_of(std::begin(SkippedFields), std::end(SkippedFields),
                    [&](const char *Skipped) { return Name == Skipped; }))
      continue;
    Line += " " + Name + "=" + valueText(Value);
  }
  return Prefix.empty() ? Line : Prefix + " " + Line;
}

std::string trimmed(const std::string &Text) {
  const auto First = Text.find_first_not_of(' ');
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(' ') - First + 1);
}

} // namespace

std::vector<std::string> eventHistory(const std::string &Job,
                                      std::istream &Log) {
  std::vector<std::pair<std::int64_t, std::string>> Entries;
  std::string Text;
  while (std::getline(Log, Text)) {
    // Search for the job before parsing: most lines belong to other jobs, and
    // parsing all of them would take minutes.
    const auto Start = Text.find('{');
    if (Start == std::string::npos || Text.find(Job) == std::string::npos)
      continue;
    const Json Event = Json::parse(Text.substr(Start), nullptr, false);
    if (!Event.is_object() || Event.value("job", "") != Job)
      continue;
    Entries.emplace_back(Event.value("time_ms", std::int64_t(0)),
                         formatLine(Event, trimmed(Text.substr(0, Start))));
  }
  std::stable_sort(
      Entries.begin(), Entries.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<std::string> History;
  History.reserve(Entries.size());
  for (const auto &[TimeMs, Line] : Entries)
    History.push_back("+" + std::to_string(TimeMs - Entries.front().first) +
                      " ms " + Line);
  return History;
}

} // namespace chivelanding
