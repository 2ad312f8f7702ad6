// Names of hosts, as configurations and callers write them.

#ifndef LIBS_TRAFFIC_HOST_NAME_H_
#define LIBS_TRAFFIC_HOST_NAME_H_

#include <string>
#include <string_view>

namespace bilberryspool::traffic {

// Returns the form in which hosts are compared: in lower case (RFC 9110,
// section 4.2.3), without a port, and without the dot that ends an absolute
// domain name. An IPv6 address keeps its brackets.
std::string NormalizeHost(std::string_view host);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_HOST_NAME_H_
