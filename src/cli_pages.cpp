#include "cli.h"
#include "events.h"
#include "settings.h"

#include <cstdio>

namespace chivelanding {

int runSettings(const Arguments &) {
  std::fputs(settingsPage().c_str(), stdout);
  return ExitOk;
}

int runEvents(const Arguments &) {
  std::fputs(eventsPage().c_str(), stdout);
  return ExitOk;
}

} // namespace chivelanding
