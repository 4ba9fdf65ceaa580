#include "config_objects.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cctype>

namespace chivelanding {

namespace {

constexpr std::size_t MaxNameLength = 63;
// Number of sections with syntax errors that are blanked in one file before
// parsing of the file is abandoned.
constexpr int MaxInvalidSections = 50;
constexpr std::size_t MaxFileBytes = 16u << 20;

struct Unit {
  const char *Name_;
  std::int64_t Factor_;
};
// Largest first: the canonical text uses the first that divides the value.
constexpr Unit TimeUnits[] = {
    {"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}};
constexpr Unit RateUnits[] = {{"/s", 60}, {"/m", 1}};

bool isNameStart(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
}

bool isValidName(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxNameLength || !isNameStart(Text[0]))
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return isNameStart(C) || C == '-' || C == '_' || C == '.';
  });
}

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return static_cast<unsigned char>(C) >= 0x20 && C != 0x7f;
  });
}

bool isDigest(const std::string &Text) {
  return Text.size() == 64 && std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

constexpr const char *NameRemedy =
    "use lower-case letters, digits, '-', '_' and '.', at most 63 "
    "characters, beginning with a letter or digit";

// Parses a number directly followed by its unit. Returns false if the unit is
// unknown, or if the number has more than 9 digits, which keeps the product
// within 64 bits.
template <std::size_t N>
bool parseWithUnit(const std::string &Text, const Unit (&Units)[N],
                   ConfigValue &Out) {
  std::size_t Digits = 0;
  while (Digits < Text.size() &&
         std::isdigit(static_cast<unsigned char>(Text[Digits])))
    ++Digits;
  if (Digits == 0 || Digits > 9)
    return false;
  for (const Unit &U : Units) {
    if (Text.substr(Digits) != U.Name_)
      continue;
    Out.Number_ = std::stoll(Text.substr(0, Digits)) * U.Factor_;
    for (const Unit &Canonical : Units) {
      if (Out.Number_ % Canonical.Factor_ != 0)
        continue;
      Out.Text_ =
          std::to_string(Out.Number_ / Canonical.Factor_) + Canonical.Name_;
      return true;
    }
  }
  return false;
}

/// Parses one source and adds its objects and problems to the shared result.
class SourceReader {
public:
  SourceReader(const ConfigSource &Source, ParsedConfig &Out)
      : Source_(Source), Out_(Out) {}

  void read();

private:
  void addProblem(std::uint32_t Line, const std::string &Object,
                  const std::string &Problem, const std::string &Remedy) {
    Out_.Problems_.push_back({Source_.File_, Line, Object, Problem, Remedy});
  }
  void blankInvalidSection(std::string &Text, std::uint32_t Line);
  void readDocument(const toml::table &Document);
  void readObject(ObjectType Type, const toml::table &Table);
  void readFields(ConfigObject &Object, const toml::table &Table);
  bool readValue(const ConfigObject &Object, const FieldRule &Rule,
                 const toml::node &Node, ConfigValue &Value);
  bool readText(const ConfigObject &Object, const FieldRule &Rule,
                const std::string &Text, ConfigValue &Value);
  void addObject(ConfigObject Object);

  const ConfigSource &Source_;
  ParsedConfig &Out_;
};

std::uint32_t lineOf(const toml::node &Node) {
  return Node.source().begin.line;
}

// The TOML parser stops at its first error. To report the errors of the other
// sections as well, read() replaces the section with the error by empty lines,
// which keeps the line numbers, and parses the text again.
void SourceReader::read() {
  if (Source_.Text_.size() > MaxFileBytes)
    return addProblem(1, "file", "larger than 16 MiB",
                      "split the set or remove what is not configuration");
  std::string Text = Source_.Text_;
  for (int Attempt = 0; Attempt < MaxInvalidSections; ++Attempt) {
    try {
      const toml::table Document = toml::parse(Text, Source_.File_);
      return readDocument(Document);
    } catch (const toml::parse_error &E) {
      const std::uint32_t Line = std::max(1u, E.source().begin.line);
      addProblem(Line, "syntax", std::string(E.description()),
                 "correct the TOML of this section");
      blankInvalidSection(Text, Line);
    }
  }
  addProblem(1, "syntax", "too many sections are not valid TOML",
             "correct the errors above and check again");
}

void SourceReader::blankInvalidSection(std::string &Text, std::uint32_t Line) {
  std::vector<std::string> Lines;
  std::size_t At = 0;
  while (At <= Text.size()) {
    const std::size_t End = std::min(Text.find('\n', At), Text.size());
    Lines.push_back(Text.substr(At, End - At));
    At = End + 1;
  }
  const auto IsHeader = [&](std::size_t I) {
    const std::size_t First = Lines[I].find_first_not_of(" \t");
    return First != std::string::npos && Lines[I][First] == '[';
  };
  std::size_t Begin = std::min<std::size_t>(Line - 1, Lines.size() - 1);
  std::size_t End = Begin + 1;
  while (Begin > 0 && !IsHeader(Begin))
    --Begin;
  while (End < Lines.size() && !IsHeader(End))
    ++End;
  for (std::size_t I = Begin; I < End; ++I) {
    Out_.InvalidText_ += Lines[I] + "\n";
    Lines[I].clear();
  }
  Text.clear();
  for (const std::string &L : Lines)
    Text += L + "\n";
}

void SourceReader::readDocument(const toml::table &Document) {
  for (const auto &[Key, Node] : Document) {
    const std::string TypeName(Key.str());
    const auto Type = objectTypeByName(TypeName);
    if (!Type) {
      addProblem(lineOf(Node), TypeName, "unknown object type",
                 "use one of team, quota, service, kind, priority, limit, "
                 "operator, cordon");
      continue;
    }
    const toml::array *List = Node.as_array();
    if (!List || !List->is_homogeneous<toml::table>()) {
      addProblem(lineOf(Node), TypeName, "not a list of objects",
                 "write [[" + TypeName + "]] and give the object a name");
      continue;
    }
    for (const toml::node &Item : *List)
      readObject(*Type, *Item.as_table());
  }
}

void SourceReader::readObject(ObjectType Type, const toml::table &Table) {
  ConfigObject Object;
  Object.Type_ = Type;
  Object.File_ = Source_.File_;
  Object.Line_ = lineOf(Table);
  const std::string TypeName = objectTypeName(Type);
  const toml::node *Name = Table.get("name");
  if (!Name || !Name->is_string())
    return addProblem(Name ? lineOf(*Name) : Object.Line_, TypeName,
                      "the object has no name", "add name = \"...\"");
  Object.Name_ = Name->as_string()->get();
  if (!isValidName(Object.Name_))
    return addProblem(lineOf(*Name), TypeName,
                      "bad name \"" + Object.Name_ + "\"", NameRemedy);
  readFields(Object, Table);
  addObject(std::move(Object));
}

void SourceReader::readFields(ConfigObject &Object, const toml::table &Table) {
  const auto &Rules = fieldRules(Object.Type_);
  std::string KnownKeys = "name";
  for (const FieldRule &Rule : Rules) {
    KnownKeys += std::string(", ") + Rule.Key_;
    if (const toml::node *Node = Table.get(Rule.Key_)) {
      ConfigValue Value;
      Value.Line_ = lineOf(*Node);
      if (readValue(Object, Rule, *Node, Value))
        Object.Fields_[Rule.Key_] = std::move(Value);
    } else if (Rule.Required_) {
      addProblem(Object.Line_, Object.label(), std::string("no ") + Rule.Key_,
                 std::string("add ") + Rule.Key_ + " = ...");
    }
  }
  for (const auto &[Key, Node] : Table) {
    const std::string Text(Key.str());
    const bool IsKnown =
        Text == "name" ||
        std::any_of(Rules.begin(), Rules.end(),
                    [&](const FieldRule &R) { return Text == R.Key_; });
    if (!IsKnown)
      addProblem(lineOf(Node), Object.label(), "unknown key " + Text,
                 "remove it, or use one of " + KnownKeys);
  }
}

bool SourceReader::readValue(const ConfigObject &Object, const FieldRule &Rule,
                             const toml::node &Node, ConfigValue &Value) {
  const std::string Key = Rule.Key_;
  const std::uint32_t Line = lineOf(Node);
  const auto Range = [&] {
    return "use a whole number from " + std::to_string(Rule.Min_) + " to " +
           std::to_string(Rule.Max_);
  };
  if (Rule.Form_ == FieldForm::Count) {
    const auto *Number = Node.as_integer();
    if (!Number || Number->get() < Rule.Min_ || Number->get() > Rule.Max_) {
      addProblem(Line, Object.label(), Key + " is not in its range", Range());
      return false;
    }
    Value.Number_ = Number->get();
    Value.Text_ = std::to_string(Value.Number_);
    return true;
  }
  if (Rule.Form_ == FieldForm::Flag) {
    if (!Node.is_boolean()) {
      addProblem(Line, Object.label(), Key + " is neither true nor false",
                 "write true or false without quotes");
      return false;
    }
    Value.Number_ = Node.as_boolean()->get() ? 1 : 0;
    Value.Text_ = Value.Number_ ? "true" : "false";
    return true;
  }
  if (!Node.is_string()) {
    const bool HasUnit =
        Rule.Form_ == FieldForm::Time || Rule.Form_ == FieldForm::Rate;
    addProblem(Line, Object.label(),
               Key + (HasUnit ? " has no unit" : " is not a text"),
               HasUnit
                   ? "write a text with a unit, such as \"250ms\" or \"20/s\""
                   : "put it in double quotes");
    return false;
  }
  return readText(Object, Rule, Node.as_string()->get(), Value);
}

bool SourceReader::readText(const ConfigObject &Object, const FieldRule &Rule,
                            const std::string &Text, ConfigValue &Value) {
  const std::string Key = Rule.Key_;
  const auto Refuse = [&](const std::string &Problem,
                          const std::string &Remedy) {
    addProblem(Value.Line_, Object.label(), Problem, Remedy);
    return false;
  };
  Value.Text_ = Text;
  switch (Rule.Form_) {
  case FieldForm::Time:
    if (!parseWithUnit(Text, TimeUnits, Value))
      return Refuse(Key + " has a bad unit or number: \"" + Text + "\"",
                    "write a whole number and ms, s, m or h: \"250ms\"");
    break;
  case FieldForm::Rate:
    if (!parseWithUnit(Text, RateUnits, Value))
      return Refuse(Key + " has a bad unit or number: \"" + Text + "\"",
                    "write a whole number and /s or /m: \"20/s\"");
    break;
  case FieldForm::Digest:
    if (!isDigest(Text))
      return Refuse(Key + " is not a SHA-256",
                    "write 64 lower-case hexadecimal digits, as printed by "
                    "printf %s TOKEN | sha256sum");
    break;
  case FieldForm::OperatorRole:
    if (Text != "reader" && Text != "publisher")
      return Refuse("unknown " + Key + " \"" + Text + "\"",
                    "use \"reader\" or \"publisher\"");
    break;
  case FieldForm::PlainName:
  case FieldForm::Reference:
    if (!isValidName(Text))
      return Refuse("bad name \"" + Text + "\" in " + Key, NameRemedy);
    break;
  default:
    if (!isPrintable(Text))
      return Refuse(Key + " has control characters", "remove them");
  }
  const bool HasRange =
      Rule.Form_ == FieldForm::Time || Rule.Form_ == FieldForm::Rate;
  if (HasRange && (Value.Number_ < Rule.Min_ || Value.Number_ > Rule.Max_))
    return Refuse(Key + " is out of range: \"" + Text + "\"",
                  Rule.Form_ == FieldForm::Time
                      ? "use more than 0 and at most 1h"
                      : "use more than 0 and at most 10000000/s");
  return true;
}

void SourceReader::addObject(ConfigObject Object) {
  const ObjectKey Key{Object.Type_, Object.Name_};
  const auto It = Out_.Set_.Objects_.find(Key);
  if (It != Out_.Set_.Objects_.end())
    return addProblem(Object.Line_, Object.label(),
                      "declared twice, first at " + It->second.File_ + ":" +
                          std::to_string(It->second.Line_),
                      "remove or rename one of the two");
  Out_.Set_.Objects_.emplace(Key, std::move(Object));
}

} // namespace

ParsedConfig parseConfig(const std::vector<ConfigSource> &Sources) {
  ParsedConfig Out;
  for (const ConfigSource &Source : Sources)
    SourceReader(Source, Out).read();
  return Out;
}

} // namespace chivelanding
