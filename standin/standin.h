#ifndef CHIVELANDING_STANDIN_H
#define CHIVELANDING_STANDIN_H

#include <string>
#include <vector>

namespace chivelanding::standin {

/// Arguments after the subcommand's name.
using Arguments = std::vector<std::string>;

/// A subcommand of chivelanding-standin.
struct Subcommand {
  const char *Name_;
  const char *Summary_;
  int (*Run_)(const Arguments &Args);
};

/// The platform's log, in memory, with faults that are switched over HTTP.
int runLog(const Arguments &Args);

} // namespace chivelanding::standin

#endif
