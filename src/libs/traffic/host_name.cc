#include "libs/traffic/host_name.h"

#include <algorithm>

namespace bilberryspool::traffic {

namespace {

// Not that of the locale: other bytes than ASCII letters are no letters here.
char ToLower(char byte) {
  return byte >= 'A' && byte <= 'Z' ? static_cast<char>(byte - 'A' + 'a')
                                    : byte;
}

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        host.find(']', colon) == std::string_view::npos;
  return has_port ? host.substr(0, colon) : host;
}

}  // namespace

std::string NormalizeHost(std::string_view host) {
  std::string name(WithoutPort(host));
  if (name.size() > 1 && name.ends_with('.')) {
    name.pop_back();
  }
  std::transform(name.begin(), name.end(), name.begin(), ToLower);
  return name;
}

}  // namespace bilberryspool::traffic
