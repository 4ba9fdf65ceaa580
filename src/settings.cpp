#include "settings.h"

#include "settings_keys.h"

#include <toml++/toml.h>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string_view>

namespace chivelanding {
namespace {

// Collects errors together with their position in the file.
class Reporter {
public:
  explicit Reporter(std::string File) : File_(std::move(File)) {}

  void add(const toml::source_region &Where, const std::string &Text) {
    Errors_.Lines_.push_back(File_ + ":" + std::to_string(Where.begin.line) +
                             ":" + std::to_string(Where.begin.column) + ": " +
                             Text);
  }
  void add(const std::string &Text) {
    Errors_.Lines_.push_back(File_ + ": " + Text);
  }
  const SettingsErrors &errors() const { return Errors_; }

private:
  std::string File_;
  SettingsErrors Errors_;
};

// Accepts "IP:PORT" and "[IPv6]:PORT". Host names are refused, since processes
// connect to each other by IP address only.
std::optional<SocketAddress> parseAddress(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon + 1 == Text.size() ||
      Text.size() - Colon > 6)
    return std::nullopt;
  const std::string PortText = Text.substr(Colon + 1);
  if (!std::all_of(PortText.begin(), PortText.end(),
                   [](char C) { return C >= '0' && C <= '9'; }))
    return std::nullopt;
  const int Port = std::stoi(PortText);
  std::string Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Ec;
  boost::asio::ip::make_address(Host, Ec);
  if (Ec || Port > 65535)
    return std::nullopt;
  return SocketAddress{Host, static_cast<std::uint16_t>(Port)};
}

bool isValidName(const std::string &Text) {
  return !Text.empty() && Text.size() <= 63 &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_';
         });
}

template <typename T>
void readNumber(const toml::node &Node, const Key<T> &K, Reporter &Report,
                const std::function<void(std::int64_t)> &Store) {
  const auto Number = Node.value_exact<std::int64_t>();
  if (!Number || *Number < K.Min_ || *Number > K.Max_)
    Report.add(Node.source(),
               std::string(K.Name_) + " must be a whole number from " +
                   std::to_string(K.Min_) + " to " + std::to_string(K.Max_));
  else
    Store(*Number);
}

template <typename T>
std::optional<SocketAddress> readAddress(const toml::node &Node,
                                         const Key<T> &K, Reporter &Report) {
  const auto Text = Node.value_exact<std::string>();
  auto Address = Text ? parseAddress(*Text) : std::nullopt;
  if (!Address)
    Report.add(Node.source(),
               std::string(K.Name_) + " must be \"IP:PORT\" with an IP number");
  return Address;
}

template <typename T>
void readAddresses(const toml::node &Node, const Key<T> &K, Reporter &Report,
                   std::vector<SocketAddress> &Out) {
  const toml::array *List = Node.as_array();
  if (!List || static_cast<std::int64_t>(List->size()) < K.Min_ ||
      static_cast<std::int64_t>(List->size()) > K.Max_) {
    Report.add(Node.source(), std::string(K.Name_) + " must be a list of " +
                                  std::to_string(K.Min_) + " to " +
                                  std::to_string(K.Max_) +
                                  " addresses \"IP:PORT\"");
    return;
  }
  Out.clear();
  for (const toml::node &Item : *List)
    if (const auto Address = readAddress(Item, K, Report))
      Out.push_back(*Address);
}

template <typename T>
void readChoice(const toml::node &Node, const Key<T> &K,
                const std::optional<std::string> &Text, Reporter &Report,
                const std::function<void(std::string)> &Store) {
  static const std::vector<std::string> Levels = {"debug", "info", "warning",
                                                  "error"};
  static const std::vector<std::string> Formats = {"json", "text"};
  const bool IsFormat = std::string_view(K.Name_) == "log_format";
  const auto &Choices = IsFormat ? Formats : Levels;
  if (Text && std::find(Choices.begin(), Choices.end(), *Text) != Choices.end())
    Store(*Text);
  else
    Report.add(Node.source(),
               std::string(K.Name_) +
                   (IsFormat ? " must be json or text"
                             : " must be debug, info, warning or error"));
}

template <typename T>
void readText(const toml::node &Node, const Key<T> &K, Reporter &Report,
              const std::function<void(std::string)> &Store) {
  const auto Text = Node.value_exact<std::string>();
  if (K.Max_ == 0) {
    readChoice(Node, K, Text, Report, Store);
  } else if (Text && isValidName(*Text)) {
    Store(*Text);
  } else {
    Report.add(Node.source(), std::string(K.Name_) +
                                  " must be 1 to 63 letters, digits, - or _");
  }
}

template <typename T>
void readKey(const toml::node &Node, const Key<T> &K, T &Out,
             Reporter &Report) {
  std::visit(
      [&](auto Member) {
        using Value = std::decay_t<decltype(Out.*Member)>;
        if constexpr (std::is_same_v<Value, Duration>)
          readNumber(Node, K, Report, [&](std::int64_t N) {
            Out.*Member = std::chrono::milliseconds(N);
          });
        else if constexpr (std::is_integral_v<Value>)
          readNumber(Node, K, Report, [&](std::int64_t N) {
            Out.*Member = static_cast<Value>(N);
          });
        else if constexpr (std::is_same_v<Value, SocketAddress>) {
          if (const auto Address = readAddress(Node, K, Report))
            Out.*Member = *Address;
        } else if constexpr (std::is_same_v<Value, std::vector<SocketAddress>>)
          readAddresses(Node, K, Report, Out.*Member);
        else
          readText(Node, K, Report, [&](std::string Text) {
            Out.*Member = Value(std::move(Text));
          });
      },
      K.Member_);
}

template <typename T>
void readTable(const toml::table &File, const char *Name,
               const std::vector<Key<T>> &Keys, T &Out, Reporter &Report) {
  const toml::table *Table = File[Name].as_table();
  if (!Table) {
    Report.add("table [" + std::string(Name) + "] is missing");
    return;
  }
  for (const auto &[Given, Node] : *Table) {
    const auto It = std::find_if(
        Keys.begin(), Keys.end(),
        [&, G = Given.str()](const Key<T> &K) { return G == K.Name_; });
    if (It == Keys.end())
      Report.add(Given.source(), "unknown key '" + std::string(Given.str()) +
                                     "' in [" + Name + "]");
    else
      readKey(Node, *It, Out, Report);
  }
  for (const Key<T> &K : Keys)
    if (K.Required_ && !Table->contains(K.Name_))
      Report.add(Table->source(),
                 std::string(K.Name_) + " is missing in [" + Name + "]");
}

// A peer must miss a heartbeat before it is suspected, and be suspected before
// it is declared lost; otherwise short pauses change its state repeatedly.
void checkFailureTimeouts(const ProcessSettings &S, Reporter &Report) {
  if (S.SuspectAfter_ < 2 * S.Heartbeat_)
    Report.add("suspect_after_ms must be at least twice heartbeat_ms");
  if (S.LostAfter_ < 2 * S.SuspectAfter_)
    Report.add("lost_after_ms must be at least twice suspect_after_ms");
}

template <typename T, typename = void> struct HasLeases : std::false_type {};
template <typename T>
struct HasLeases<T, std::void_t<decltype(&T::Leases_)>> : std::true_type {};

// True for the tables that only the dispatching roles have.
template <typename T> bool isDispatchTable(std::string_view Name) {
  return HasLeases<T>::value && (Name == "leases" || Name == "cordons");
}

template <typename T>
LoadedSettings<T> parse(const std::string &Text, const std::string &File,
                        const char *Role, const std::vector<Key<T>> &Keys) {
  Reporter Report(File);
  T Out;
  try {
    const toml::table Parsed = toml::parse(Text);
    for (const auto &[Given, Node] : Parsed)
      if (Given.str() != "process" && Given.str() != "limits" &&
          Given.str() != Role && !isDispatchTable<T>(Given.str()))
        Report.add(Given.source(),
                   "unknown table or key '" + std::string(Given.str()) + "'");
    readTable(Parsed, "process", processKeys(), Out.Process_, Report);
    readTable(Parsed, Role, Keys, Out, Report);
    if (Parsed.contains("limits"))
      readTable(Parsed, "limits", resourceKeys(), Out.Process_.Resources_,
                Report);
    if constexpr (HasLeases<T>::value) {
      readTable(Parsed, "leases", leaseKeys(), Out.Leases_, Report);
      if (Parsed.contains("cordons"))
        readTable(Parsed, "cordons", cordonKeys(), Out.Cordons_, Report);
    }
    checkFailureTimeouts(Out.Process_, Report);
  } catch (const toml::parse_error &E) {
    Report.add(E.source(), std::string(E.description()));
  }
  if (!Report.errors().Lines_.empty())
    return Report.errors();
  return Out;
}

template <typename T, typename Parser>
LoadedSettings<T> loadSettings(const std::string &Path, Parser ParseText) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return SettingsErrors{{Path + ": cannot be read"}};
  std::ostringstream Text;
  Text << File.rdbuf();
  return ParseText(Text.str(), Path);
}

} // namespace

LoadedSettings<EntrySettings> parseEntrySettings(const std::string &Text,
                                                 const std::string &File) {
  return parse<EntrySettings>(Text, File, "entry", entryKeys());
}

LoadedSettings<AgentSettings> parseAgentSettings(const std::string &Text,
                                                 const std::string &File) {
  return parse<AgentSettings>(Text, File, "agent", agentKeys());
}

LoadedSettings<DispatchEntrySettings>
parseDispatchEntrySettings(const std::string &Text, const std::string &File) {
  return parse<DispatchEntrySettings>(Text, File, "dispatch_entry",
                                      dispatchEntryKeys());
}

LoadedSettings<DispatchAgentSettings>
parseDispatchAgentSettings(const std::string &Text, const std::string &File) {
  return parse<DispatchAgentSettings>(Text, File, "dispatch_agent",
                                      dispatchAgentKeys());
}

LoadedSettings<DispatchEntrySettings>
loadDispatchEntrySettings(const std::string &Path) {
  return loadSettings<DispatchEntrySettings>(Path, parseDispatchEntrySettings);
}

LoadedSettings<DispatchAgentSettings>
loadDispatchAgentSettings(const std::string &Path) {
  return loadSettings<DispatchAgentSettings>(Path, parseDispatchAgentSettings);
}

LoadedSettings<EntrySettings> loadEntrySettings(const std::string &Path) {
  return loadSettings<EntrySettings>(Path, parseEntrySettings);
}

LoadedSettings<AgentSettings> loadAgentSettings(const std::string &Path) {
  return loadSettings<AgentSettings>(Path, parseAgentSettings);
}

} // namespace chivelanding
