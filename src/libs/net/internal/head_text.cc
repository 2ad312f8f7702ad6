#include "libs/net/internal/head_text.h"

namespace bilberryspool::net::internal {

std::string_view TextOf(const boost::beast::flat_buffer& buffer) {
  const auto data = buffer.cdata();
  return {static_cast<const char*>(data.data()), data.size()};
}

bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

}  // namespace bilberryspool::net::internal
