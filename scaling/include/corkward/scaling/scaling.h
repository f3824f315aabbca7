#pragma once

/// All of the package in one include: the scaler, trust, the pick, prefixes, retry budgets, the cold bucket.

#include <corkward/scaling/balancing.h>
#include <corkward/scaling/candidates.h>
#include <corkward/scaling/slow_start_bucket.h>
#include <corkward/scaling/scaler_parameters.h>
#include <corkward/scaling/prefix_cache.h>
#include <corkward/scaling/completion_rate.h>
#include <corkward/scaling/reliability.h>
#include <corkward/scaling/retry_budget.h>
#include <corkward/scaling/scaler.h>
