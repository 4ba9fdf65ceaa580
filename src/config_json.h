#ifndef CHIVELANDING_CONFIG_JSON_H
#define CHIVELANDING_CONFIG_JSON_H

#include "config_delta.h"
#include "config_state_machine.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace chivelanding {

/// JSON forms of results, used by the commands and the administration API.
nlohmann::json problemsJson(const std::vector<ConfigProblem> &Problems);
nlohmann::json changesJson(const std::vector<ObjectChange> &Changes);
nlohmann::json evaluatedRecordJson(const EvaluatedRecord &Evaluated);

} // namespace chivelanding

#endif
