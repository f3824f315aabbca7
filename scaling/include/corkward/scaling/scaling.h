#pragma once

/// All of the package in one include: the scaler, trust, the pick, prefixes, retry budgets, the cold bucket.

#include <corkward/scaling/balancing.h>
#include <corkward/scaling/candidates.h>
#include <corkward/scaling/cold_bucket.h>
#include <corkward/scaling/figures.h>
#include <corkward/scaling/prefixes.h>
#include <corkward/scaling/rate.h>
#include <corkward/scaling/reliability.h>
#include <corkward/scaling/retry_budget.h>
#include <corkward/scaling/scaler.h>
