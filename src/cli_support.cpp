#include "cli_support.h"
#include "api.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

namespace chivelanding {

namespace po = boost::program_options;

CommandOptions::CommandOptions(const char *Name, const char *Purpose,
                               const char *Positional)
    : Name_(Name), Purpose_(Purpose), Positional_(Positional),
      Description_("Options") {
  add()("help", "show this text")("json", "print JSON for programs");
}

std::string CommandOptions::usage() const {
  std::ostringstream Text;
  Text << "usage: chivelanding " << Name_ << " [OPTIONS]";
  if (*Positional_)
    Text << " " << Positional_;
  Text << "\n\n" << Purpose_ << "\n\n" << Description_;
  return Text.str();
}

std::optional<int> CommandOptions::parse(const Arguments &Args) {
  try {
    po::options_description All;
    All.add(Description_);
    All.add_options()("file", po::value<std::vector<std::string>>());
    po::positional_options_description Positional;
    if (*Positional_)
      Positional.add("file", -1);
    po::store(
        po::command_line_parser(Args).options(All).positional(Positional).run(),
        Values_);
    if (has("help")) {
      std::fputs(usage().c_str(), stdout);
      return ExitOk;
    }
    po::notify(Values_);
  } catch (const po::error &E) {
    std::fprintf(stderr, "chivelanding %s: %s; see chivelanding %s --help\n",
                 Name_, E.what(), Name_);
    return ExitUsage;
  }
  return std::nullopt;
}

std::string CommandOptions::text(const char *Name) const {
  return has(Name) ? Values_[Name].as<std::string>() : std::string();
}

std::optional<std::uint64_t> CommandOptions::number(const char *Name) const {
  if (!has(Name))
    return std::nullopt;
  return Values_[Name].as<std::uint64_t>();
}

std::vector<std::string> CommandOptions::files() const {
  return has("file") ? Values_["file"].as<std::vector<std::string>>()
                     : std::vector<std::string>();
}

void printTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  }
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line.append(Widths[I] - Row[I].size() + 2, ' ');
    }
    std::puts(Line.c_str());
  }
}

std::string formatUnixMs(std::int64_t UnixMs) {
  const std::time_t Seconds = UnixMs / 1000;
  std::tm Utc{};
  char Text[32];
  if (UnixMs == 0 || !gmtime_r(&Seconds, &Utc) ||
      std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &Utc) == 0)
    return "-";
  return Text;
}

void printJson(const nlohmann::json &Value) {
  std::puts(Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                .c_str());
}

int reportError(const Error &E, bool AsJson, int Exit) {
  if (AsJson)
    printJson({{"error",
                {{"code", E.Code_},
                 {"step", E.Step_},
                 {"peer", E.Peer_},
                 {"detail", E.Detail_}}}});
  else
    std::fprintf(stderr, "chivelanding: %s\n", E.str().c_str());
  return Exit;
}

Result<SocketAddress> addressOption(const CommandOptions &Options,
                                    const char *Name, const char *Variable) {
  std::string Text = Options.text(Name);
  if (Text.empty() && std::getenv(Variable))
    Text = std::getenv(Variable);
  if (Text.empty())
    return Error{"no_address", "read options", "",
                 std::string("give --") + Name + " IP:PORT or set " + Variable};
  return parseAddress(Text);
}

Result<std::vector<ConfigSource>>
readSources(const std::vector<std::string> &Files) {
  std::vector<ConfigSource> Sources;
  for (const std::string &File : Files) {
    std::stringstream Text;
    if (File == "-") {
      Text << std::cin.rdbuf();
      Sources.push_back({"(standard input)", Text.str()});
      continue;
    }
    std::ifstream Stream(File);
    if (!Stream || !(Text << Stream.rdbuf() || Stream.eof()))
      return Error{"unreadable", "read " + File, "",
                   "the file does not exist or may not be read"};
    Sources.push_back({File, Text.str()});
  }
  return Sources;
}

} // namespace chivelanding
