#include "settings.h"

#include <toml++/toml.h>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string_view>

namespace chivelanding {
namespace {

// One key of a settings table: the member that it sets, the range of numbers in
// the file's unit, and its description for docs/settings.md.
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

constexpr std::int64_t HourMs = 3'600'000;
constexpr std::int64_t Gibibyte = std::int64_t(1) << 30;

const std::vector<Key<ProcessSettings>> &processKeys() {
  using S = ProcessSettings;
  static const std::vector<Key<S>> Keys = {
      {"name", &S::Name_, 1, 63, true,
       "name of the process, unique among its role; letters, digits, `-`, "
       "`_`"},
      {"zone", &S::Zone_, 1, 63, true, "availability zone of this VM"},
      {"region", &S::Region_, 1, 63, true, "region of this VM"},
      {"log_level", &S::LogLevel_, 0, 0, false,
       "lowest severity that is logged: `debug`, `info`, `warning`, `error`"},
      {"log_format", &S::LogFormat_, 0, 0, false,
       "`json`: one object a line on standard output; `text`: plain lines on "
       "standard error"},
      {"heartbeat_ms", &S::Heartbeat_, 10, 60'000, false,
       "heartbeat period on an idle link"},
      {"suspect_after_ms", &S::SuspectAfter_, 50, 600'000, false,
       "silence after which a peer is suspected and a second connection is "
       "opened"},
      {"lost_after_ms", &S::LostAfter_, 100, HourMs, false,
       "silence after which a peer may be declared lost"},
      {"max_frame_bytes", &S::MaxFrameBytes_, 65'536, Gibibyte, false,
       "largest frame accepted from a peer"},
      {"drain_limit_ms", &S::DrainLimit_, 0, HourMs, false,
       "longest time that a drain waits for running work"},
      {"log", &S::Log_, 0, 0, false,
       "address of the platform's log; without it the process gets the "
       "configuration from its peers"},
  };
  return Keys;
}

const std::vector<Key<EntrySettings>> &entryKeys() {
  using S = EntrySettings;
  static const std::vector<Key<S>> Keys = {
      {"listen", &S::Listen_, 0, 0, true, "callers' HTTP listener"},
      {"peer_listen", &S::PeerListen_, 0, 0, true,
       "listener for agents and other entries"},
      {"admin_listen", &S::AdminListen_, 0, 0, false,
       "listener of the administration API; off if not set"},
      {"seeds", &S::Seeds_, 0, 64, false,
       "peer listeners of other entries to contact first, or the balancer's "
       "address"},
      {"max_body_bytes", &S::MaxBodyBytes_, 1024, Gibibyte, false,
       "largest body of a caller's request"},
      {"max_connections", &S::MaxConnections_, 1, 1'000'000, false,
       "callers' connections that may be open at once"},
      {"max_tasks_per_job", &S::MaxTasksPerJob_, 1, 1700, false,
       "tasks in one job"},
      {"max_waiting_tasks", &S::MaxWaitingTasks_, 1, 10'000'000, false,
       "tasks that may wait at this entry"},
      {"token_epoch_ms", &S::TokenEpoch_, 100, HourMs, false,
       "length of an epoch of owner tokens"},
      {"token_epochs_accepted", &S::TokenEpochsAccepted_, 1, 1000, false,
       "past epochs whose tokens are still accepted for new jobs"},
      {"result_bytes", &S::ResultBytes_, 1024, 64 * Gibibyte, false,
       "bytes of results kept for answered jobs"},
      {"seed", &S::Seed_, 0, INT64_MAX, false,
       "seed of random choices; 0: a random seed is drawn at the start"},
  };
  return Keys;
}

const std::vector<Key<AgentSettings>> &agentKeys() {
  using S = AgentSettings;
  static const std::vector<Key<S>> Keys = {
      {"listen", &S::Listen_, 0, 0, true,
       "local HTTP listener for the endpoint"},
      {"entries", &S::Entries_, 1, 64, true,
       "peer listeners of entries to contact first, or the balancer's address"},
      {"queue_room", &S::QueueCapacity_, 0, 1000, false,
       "tasks that may wait at the agent beyond the endpoint's slots"},
      {"result_bytes", &S::ResultBytes_, 1024, 64 * Gibibyte, false,
       "bytes of results kept for jobs that have no answer yet"},
      {"retention_ms", &S::Retention_, 1000, 24 * HourMs, false,
       "time that records of lost or closed owners are kept"},
  };
  return Keys;
}

const std::vector<Key<LeaseSettings>> &leaseKeys() {
  using S = LeaseSettings;
  static const std::vector<Key<S>> Keys = {
      {"max_endpoint_lease_ms", &S::MaxEndpointLease_, 300, 60'000, false,
       "longest lease that the endpoints grant"},
      {"caller_retry_ms", &S::CallerRetry_, 500, HourMs, false,
       "pause after which a caller sends a job again; the runs of a lost entry "
       "are over by then"},
      {"stop_time_ms", &S::StopTime_, 1, 10'000, false,
       "longest time that an endpoint takes to stop a run"},
  };
  return Keys;
}

const std::vector<Key<DispatchEntrySettings>> &dispatchEntryKeys() {
  using S = DispatchEntrySettings;
  static const std::vector<Key<S>> Keys = {
      {"listen", &S::Listen_, 0, 0, true, "callers' HTTP listener"},
      {"ready_listen", &S::ReadyListen_, 0, 0, true,
       "listener for the load balancer's readiness check"},
      {"metrics_listen", &S::MetricsListen_, 0, 0, false,
       "listener for metrics; off if not set"},
      {"peer_listen", &S::PeerListen_, 0, 0, true,
       "listener for agents and other entries"},
      {"peer_advertise", &S::PeerAdvertise_, 0, 0, false,
       "address at which peers reach `peer_listen`, if it is another one"},
      {"seeds", &S::Seeds_, 0, 64, false,
       "addresses on the VMs of other entries; the port is that of "
       "`peer_listen`"},
      {"grace_ms", &S::Grace_, 100, HourMs, false,
       "time from SIGTERM until the process is killed"},
  };
  return Keys;
}

const std::vector<Key<DispatchAgentSettings>> &dispatchAgentKeys() {
  using S = DispatchAgentSettings;
  static const std::vector<Key<S>> Keys = {
      {"listen", &S::Listen_, 0, 0, true,
       "HTTP listener for the endpoint on this VM"},
      {"endpoint", &S::Endpoint_, 0, 0, true,
       "address of the endpoint on this VM"},
      {"service", &S::Service_, 1, 63, true,
       "service that the endpoint belongs to"},
      {"metrics_listen", &S::MetricsListen_, 0, 0, false,
       "listener for metrics; off if not set"},
      {"peer_listen", &S::PeerListen_, 0, 0, true,
       "address for peers; the entries listen at this port"},
      {"seeds", &S::Seeds_, 0, 64, false,
       "addresses on the VMs of entries; the port is that of `peer_listen`"},
      {"grace_ms", &S::Grace_, 100, HourMs, false,
       "time from SIGTERM until the process is killed"},
  };
  return Keys;
}

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

template <typename T>
LoadedSettings<T> parse(const std::string &Text, const std::string &File,
                        const char *Role, const std::vector<Key<T>> &Keys) {
  Reporter Report(File);
  T Out;
  try {
    const toml::table Parsed = toml::parse(Text);
    for (const auto &[Given, Node] : Parsed)
      if (Given.str() != "process" && Given.str() != Role &&
          !(HasLeases<T>::value && Given.str() == "leases"))
        Report.add(Given.source(),
                   "unknown table or key '" + std::string(Given.str()) + "'");
    readTable(Parsed, "process", processKeys(), Out.Process_, Report);
    readTable(Parsed, Role, Keys, Out, Report);
    if constexpr (HasLeases<T>::value)
      readTable(Parsed, "leases", leaseKeys(), Out.Leases_, Report);
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

// Default value as it would be written in the file.
template <typename T> std::string defaultText(const Key<T> &K) {
  const T Defaults{};
  return std::visit(
      [&](auto Member) -> std::string {
        using Value = std::decay_t<decltype(Defaults.*Member)>;
        const Value &V = Defaults.*Member;
        if constexpr (std::is_same_v<Value, Duration>)
          return std::to_string(V.count() / 1000);
        else if constexpr (std::is_integral_v<Value>)
          return std::to_string(V);
        else if constexpr (std::is_same_v<Value, std::string>)
          return V;
        else
          return "";
      },
      K.Member_);
}

template <typename T>
std::string section(const char *Name, const std::vector<Key<T>> &Keys) {
  std::string Page = std::string("\n## [") + Name +
                     "]\n\n| key | default | range | meaning |\n"
                     "| --- | --- | --- | --- |\n";
  for (const Key<T> &K : Keys) {
    const std::string Default = K.Required_ ? "required" : defaultText(K);
    const bool IsList =
        std::holds_alternative<std::vector<SocketAddress> T::*>(K.Member_);
    std::string Range;
    if (std::holds_alternative<SocketAddress T::*>(K.Member_))
      Range = "`\"IP:PORT\"`";
    else if (IsList)
      Range = "list of " + std::to_string(K.Min_) + " to " +
              std::to_string(K.Max_) + " `\"IP:PORT\"`";
    else if (K.Max_ == 63)
      Range = "1 to 63 characters";
    else if (K.Max_ > 0)
      Range = std::to_string(K.Min_) + " to " + std::to_string(K.Max_);
    for (const std::string &Cell :
         {std::string("| `") + K.Name_, "` | " + Default, " | " + Range,
          std::string(" | ") + K.Description_, std::string(" |\n")})
      Page += Cell;
  }
  return Page;
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

std::string settingsPage() {
  return std::string(
             "# Settings\n\n"
             "A process reads one TOML file: `chivelanding entry "
             "--settings FILE` or\n`chivelanding agent --settings "
             "FILE`. `--check-settings` checks the file and\nexits. "
             "Keys that end in `_ms` are in milliseconds, those that "
             "end in `_bytes`\nin bytes. Unknown keys are refused. "
             "`chivelanding dispatch-entry` and `chivelanding dispatch-agent` "
             "read [process],\n[leases] and the table of their own "
             "name.\n"
             "This page is generated by `chivelanding settings`;\na "
             "test compares it with the code.\n") +
         section("process", processKeys()) + section("entry", entryKeys()) +
         section("agent", agentKeys()) + section("leases", leaseKeys()) +
         section("dispatch_entry", dispatchEntryKeys()) +
         section("dispatch_agent", dispatchAgentKeys());
}

} // namespace chivelanding
