#ifndef CHIVELANDING_EVENT_HISTORY_H
#define CHIVELANDING_EVENT_HISTORY_H

#include <istream>
#include <string>
#include <vector>

namespace chivelanding {

/// The lines of a log, or of several processes' logs one after the other, that
/// touch one job, by time. Text before the JSON object of a line, such as the
/// name of the process, is kept; lines without an object are passed over.
std::vector<std::string> eventHistory(const std::string &Job,
                                      std::istream &Log);

} // namespace chivelanding

#endif
