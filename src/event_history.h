#ifndef CHIVELANDING_EVENT_HISTORY_H
#define CHIVELANDING_EVENT_HISTORY_H

#include <istream>
#include <string>
#include <vector>

namespace chivelanding {

/// Returns the events of one job, ordered by time, with times relative to the
/// first. Log holds the JSON log lines of one process, or those of several
/// processes one after the other. Text before the JSON object of a line, such
/// as the name of the process, is kept; lines without an object are skipped.
std::vector<std::string> eventHistory(const std::string &Job,
                                      std::istream &Log);

} // namespace chivelanding

#endif
