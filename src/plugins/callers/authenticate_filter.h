#ifndef PLUGINS_CALLERS_AUTHENTICATE_FILTER_H_
#define PLUGINS_CALLERS_AUTHENTICATE_FILTER_H_

#include <optional>

#include "plugins/callers/final_answer.h"
#include "plugins/callers/request_context.h"
#include "plugins/callers/service_table.h"

namespace bilberryspool::callers {

// Checks that a request may use its workspace. A workspace that is declared
// with a credential requires it as a bearer credential. Once any workspace is
// declared, undeclared ones are refused.
class AuthenticateFilter {
 public:
  explicit AuthenticateFilter(const ServiceTable& services)
      : services_(services) {}

  std::optional<FinalAnswer> Handle(const RequestContext& context) const;

 private:
  const ServiceTable& services_;
};

// The hash of a credential in hexadecimal, as it is declared for a workspace.
std::string HashCredential(std::string_view credential);

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_AUTHENTICATE_FILTER_H_
