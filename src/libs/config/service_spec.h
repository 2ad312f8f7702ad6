#ifndef LIBS_CONFIG_SERVICE_SPEC_H_
#define LIBS_CONFIG_SERVICE_SPEC_H_

#include <string>

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::config {

enum class ServiceKind { kEngine, kPlain };
BOOST_DESCRIBE_ENUM(ServiceKind, kEngine, kPlain)

// A service that callers address by its id.
struct ServiceSpec {
  using Key = ServiceId;
  static constexpr const char* kKind = "service";

  ServiceId id;
  ServiceKind kind = ServiceKind::kEngine;
  // Path below which calls go to a plain service; empty for an engine.
  std::string path_prefix;
  // Defaults for requests that don't specify these.
  bool idempotent = false;
  Duration deadline = Seconds(30);

  Key key() const { return id; }
  bool operator==(const ServiceSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServiceSpec,
                      (),
                      (id, kind, path_prefix, idempotent, deadline))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_SERVICE_SPEC_H_
