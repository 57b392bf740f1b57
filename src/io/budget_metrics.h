#pragma once

#include "io/connection_budget.h"

#include <string>

namespace eelgrassloft::io {

/// What the listeners of a process have refused or closed, and their use of the budget, in the
/// Prometheus text format.
std::string budgetMetricsText(const ConnectionBudget& budget);

} // namespace eelgrassloft::io
