#ifndef LIBS_TELEMETRY_LOG_LEVEL_H_
#define LIBS_TELEMETRY_LOG_LEVEL_H_

namespace bilberryspool::telemetry {

// In increasing order of severity.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_LOG_LEVEL_H_
