// Compression of long texts, such as configurations, to printable ASCII.
//
// The configuration of a large deployment has hundreds of kilobytes, mostly
// repeated field names. It is written to the log and the disks and sent over
// the links to every gateway; uncompressed, one change takes a small leading
// control node 0.25 s of processor time and delays its heartbeats.
//
// Pure functions that use zstd and base64.

#ifndef LIBS_PACKING_PACKED_TEXT_H_
#define LIBS_PACKING_PACKED_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryspool::packing {

// A compressed text: printable ASCII without quotes or line breaks, so that
// messages and log entries can contain it without escaping.
struct PackedText {
  std::string value;

  bool operator==(const PackedText&) const = default;
};

// Maximum size of an unpacked text in bytes, so that a damaged or malicious
// text can't exhaust the memory of a small VM. Request bodies of operators have
// a lower limit.
inline constexpr std::size_t kMaxUnpackedBytes = std::size_t{64} << 20U;

PackedText Pack(std::string_view text);

// Returns std::nullopt if the value was not made by Pack() or unpacks to more
// than `max_bytes`. A value without the prefix of a packed text is returned
// unchanged: data folders of earlier versions contain such values.
std::optional<std::string> Unpack(const PackedText& packed,
                                  std::size_t max_bytes = kMaxUnpackedBytes);

}  // namespace bilberryspool::packing

#endif  // LIBS_PACKING_PACKED_TEXT_H_
