#include "cli.h"
#include "event_history.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace chivelanding {

int runExplain(const Arguments &Args) {
  namespace options = boost::program_options;
  options::options_description Description("Options");
  Description.add_options()("help", "print this text")(
      "job", options::value<std::string>(),
      "id of the job")("log", options::value<std::vector<std::string>>(),
                       "log files; standard input if none is given");
  options::positional_options_description Positions;
  Positions.add("job", 1).add("log", -1);
  options::variables_map Map;
  try {
    options::store(options::command_line_parser(Args)
                       .options(Description)
                       .positional(Positions)
                       .run(),
                   Map);
  } catch (const options::error &E) {
    std::cerr << "chivelanding explain: " << E.what() << "\n";
    return ExitUsage;
  }
  if (Map.count("help") > 0 || Map.count("job") == 0) {
    std::cout << "usage: chivelanding explain JOB [LOG...]\n\n"
                 "Prints the log lines that concern one job, by time.\n\n"
              << Description;
    return Map.count("help") > 0 ? ExitOk : ExitUsage;
  }
  std::stringstream All;
  if (Map.count("log") == 0)
    All << std::cin.rdbuf();
  else
    for (const auto &Path : Map["log"].as<std::vector<std::string>>()) {
      std::ifstream File(Path);
      if (!File) {
        std::cerr << "chivelanding explain: cannot read " << Path << "\n";
        return ExitUsage;
      }
      All << File.rdbuf() << "\n";
      All.clear();
    }
  const auto JobLines = eventHistory(Map["job"].as<std::string>(), All);
  for (const std::string &Line : JobLines)
    std::cout << Line << "\n";
  if (JobLines.empty())
    std::cerr << "no log line concerns this job\n";
  return JobLines.empty() ? ExitFailed : ExitOk;
}

} // namespace chivelanding
