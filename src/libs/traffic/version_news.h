// Which control nodes tell a gateway of a new configuration at once.
//
// Every control node knows of it within a few milliseconds. What can go wrong:
// in a large deployment each of them answers each gateway's question for every
// version, and most gateways then take the text from the one that was first,
// which is the leader. While configurations come several times a second, small
// control nodes do nothing else: calls between them time out for seconds, and
// groups keep maps that their demand has left. So where gateways are many, two
// nodes tell each gateway at once, others with their next regular answer, which
// is what a gateway falls back on where both fail.
//
// Pure.

#ifndef LIBS_TRAFFIC_VERSION_NEWS_H_
#define LIBS_TRAFFIC_VERSION_NEWS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bilberryspool::traffic {

// `reachable` are the nodes that answer `gateway`; one that is not among them
// yet tells at once. `gateways` is how many there are.
bool IsToldAtOnce(const std::string& gateway,
                  const std::string& node,
                  const std::vector<std::string>& reachable,
                  std::uint64_t gateways);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_VERSION_NEWS_H_
