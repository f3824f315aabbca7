#pragma once

/// Includes the whole package: control of subset size and concurrency, circuit breakers, the choice of a replica,
/// prefix affinity, retry budgets and slow start.

#include <corkward/scaling/balancing.h>
#include <corkward/scaling/candidates.h>
#include <corkward/scaling/slow_start_bucket.h>
#include <corkward/scaling/scaler_parameters.h>
#include <corkward/scaling/prefix_cache.h>
#include <corkward/scaling/completion_rate.h>
#include <corkward/scaling/circuit_breaker.h>
#include <corkward/scaling/retry_budget.h>
#include <corkward/scaling/scaler.h>
