// Metrics: counters, gauges and distributions with labels, exported in the
// Prometheus text format. Include this header for all of them.

#ifndef LIBS_TELEMETRY_METRICS_H_
#define LIBS_TELEMETRY_METRICS_H_

#include "libs/telemetry/counter.h"
#include "libs/telemetry/distribution.h"
#include "libs/telemetry/gauge.h"
#include "libs/telemetry/label.h"
#include "libs/telemetry/registry.h"

#endif  // LIBS_TELEMETRY_METRICS_H_
