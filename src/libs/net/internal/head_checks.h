// Checks of a message's head that the parser does not make.

#ifndef LIBS_NET_INTERNAL_HEAD_CHECKS_H_
#define LIBS_NET_INTERNAL_HEAD_CHECKS_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace bilberryspool::net::internal {

// Valid until the buffer changes.
std::string_view TextOf(const boost::beast::flat_buffer& buffer);

// Returns true if a header line continues the value of the previous one. The
// parser would join the two lines; a reader that takes them for two fields
// would see another message, and perhaps another length of its body.
bool HasFoldedLine(std::string_view head);

// Returns true if the body has another transfer coding than "chunked" alone.
// The parser would leave the other codings in the body.
bool HasUnknownCoding(const boost::beast::http::fields& fields);

}  // namespace bilberryspool::net::internal

#endif  // LIBS_NET_INTERNAL_HEAD_CHECKS_H_
