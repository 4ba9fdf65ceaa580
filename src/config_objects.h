#ifndef CHIVELANDING_CONFIG_OBJECTS_H
#define CHIVELANDING_CONFIG_OBJECTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivelanding {

/// Types of named objects, in the order in which the canonical text lists them.
enum class ObjectType : std::uint8_t {
  Team,
  Quota,
  Service,
  Kind,
  Priority,
  Limit,
  Operator,
  Cordon
};

/// Form of a field's value, and the unit of its number.
enum class FieldForm : std::uint8_t {
  Text,
  /// Whole number within the rule's range.
  Count,
  /// Text such as "250ms", "2s", "5m", "1h"; the number is in microseconds.
  Time,
  /// Text such as "200/s" or "30/m"; the number is per minute.
  Rate,
  Flag,
  /// SHA-256 as 64 hexadecimal digits.
  Digest,
  /// A name that is not declared by an object, such as that of a region.
  PlainName,
  /// "reader" or "publisher".
  OperatorRole,
  /// Name of an object of the rule's target type.
  Reference
};

/// Whether a field bounds what its users get; a lower value is then tighter.
enum class BoundKind : std::uint8_t {
  None,
  /// An upper bound; an absent field means unlimited.
  UpperBound,
  /// A guaranteed minimum; an absent field means zero.
  Guarantee
};

/// One field of an object type.
struct FieldRule {
  const char *Key_;
  FieldForm Form_;
  bool Required_ = false;
  std::int64_t Min_ = 0;
  std::int64_t Max_ = 0;
  ObjectType Target_ = ObjectType::Team;
  BoundKind Bound_ = BoundKind::None;
};

/// Fields of an object type beside `name`, in canonical order.
const std::vector<FieldRule> &fieldRules(ObjectType Type);
/// Name of the type's tables in TOML.
const char *objectTypeName(ObjectType Type);
/// Every type, in order.
const std::vector<ObjectType> &allObjectTypes();
std::optional<ObjectType> objectTypeByName(const std::string &Name);

/// A field's value: canonical text, and the number in the unit of its form.
struct ConfigValue {
  std::string Text_;
  std::int64_t Number_ = 0;
  std::uint32_t Line_ = 0;
};

/// One named object and where it was declared.
struct ConfigObject {
  ObjectType Type_ = ObjectType::Team;
  std::string Name_;
  std::map<std::string, ConfigValue> Fields_;
  std::string File_;
  std::uint32_t Line_ = 0;

  /// Number of a field in the unit of its form; nothing if it is absent.
  std::optional<std::int64_t> number(const std::string &Key) const;
  /// Text of a field, empty if absent.
  std::string text(const std::string &Key) const;
  /// Line of a field, or of the object if the field is absent.
  std::uint32_t line(const std::string &Key) const;
  /// "TYPE NAME" for messages.
  std::string label() const;
  /// The object as TOML, in canonical form.
  std::string toml() const;
};

using ObjectKey = std::pair<ObjectType, std::string>;

/// A whole set of objects by type and name.
struct ConfigSet {
  std::map<ObjectKey, ConfigObject> Objects_;

  const ConfigObject *find(ObjectType Type, const std::string &Name) const;
  /// Every object of a type, by name.
  std::vector<const ConfigObject *> all(ObjectType Type) const;
  /// Canonical text: the same for equal sets, however their files were written.
  std::string toml() const;
};

/// One text to parse, and the file name that messages give for it.
struct ConfigSource {
  std::string File_;
  std::string Text_;
};

/// One error in a set: where it is, what is wrong and what to do about it.
struct ConfigProblem {
  std::string File_;
  std::uint32_t Line_ = 0;
  std::string Object_;
  std::string Problem_;
  std::string Remedy_;

  /// One line: "FILE:LINE: OBJECT: PROBLEM; REMEDY".
  std::string str() const;
};

/// Result of parsing: the objects that could be parsed, and every problem.
struct ParsedConfig {
  ConfigSet Set_;
  std::vector<ConfigProblem> Problems_;
  /// Text of the sections that are not valid TOML. References to names that
  /// occur in it are not reported as dangling.
  std::string InvalidText_;
};

/// Parses objects from TOML. Reports errors of syntax, names, units and ranges,
/// unknown keys, missing fields and duplicates. checkConfig also checks the
/// rules between objects.
ParsedConfig parseConfig(const std::vector<ConfigSource> &Sources);

} // namespace chivelanding

#endif
