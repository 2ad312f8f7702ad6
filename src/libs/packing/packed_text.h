// Long texts, made short and safe to send.
//
// A whole configuration of a large deployment has hundreds of kilobytes, most
// of it repeated field names. It crosses the log, the disks and the links to
// every gateway; sent as it is, one change takes a small leading control node a
// quarter of a second of processor time and holds up its heartbeats.
//
// Pure; zstd and base64 underneath.

#ifndef LIBS_PACKING_PACKED_TEXT_H_
#define LIBS_PACKING_PACKED_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryspool::packing {

// A text that was packed: printable ASCII without quotes or line breaks, so
// that it goes into messages and log entries as it is.
struct PackedText {
  std::string value;

  bool operator==(const PackedText&) const = default;
};

// Unpacks to at most this many bytes: a damaged or hostile text must not take
// the memory of a small VM. Operators' bodies are bounded below this.
inline constexpr std::size_t kMaxUnpackedBytes = std::size_t{64} << 20U;

PackedText Pack(std::string_view text);

// Nothing for bytes that Pack() did not make, or that stand for more than
// `largest`. A value without the mark of a packed text is the text itself: data
// folders of earlier versions hold those.
std::optional<std::string> Unpack(const PackedText& packed,
                                  std::size_t max_bytes = kMaxUnpackedBytes);

}  // namespace bilberryspool::packing

#endif  // LIBS_PACKING_PACKED_TEXT_H_
