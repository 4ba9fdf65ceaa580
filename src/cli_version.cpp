#include "cli.h"
#include "message.h"

#include <cstdio>

namespace chivelanding {

int runVersion(const Arguments &) {
  std::printf("chivelanding 0.1.0 (protocol %u)\n", ProtocolVersion);
  return ExitOk;
}

} // namespace chivelanding
