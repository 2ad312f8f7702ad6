// Finds the service of a request in the accepted configuration.

#ifndef PLUGINS_CALLERS_SERVICE_TABLE_H_
#define PLUGINS_CALLERS_SERVICE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>

#include "libs/config/configuration.h"
#include "libs/config/service_spec.h"

namespace bilberryspool::callers {

class ServiceTable {
 public:
  void Adopt(std::shared_ptr<const config::Configuration> configuration);

  // Returns the service for a path and, on the paths of the engine protocol, a
  // model; null if there is none. The longest declared path prefix wins.
  const config::ServiceSpec* Find(std::string_view path,
                                  const std::string& model) const;

  const config::Configuration* configuration() const {
    return configuration_.get();
  }

  // Whether the path belongs to the engine protocol.
  static bool IsEnginePath(std::string_view path);

 private:
  std::shared_ptr<const config::Configuration> configuration_;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_SERVICE_TABLE_H_
