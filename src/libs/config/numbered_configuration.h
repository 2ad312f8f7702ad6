// A configuration that is always replaced as a whole and whose version numbers
// are assigned externally. The highest version wins, regardless of the order in
// which proposals arrive.

#ifndef LIBS_CONFIG_NUMBERED_CONFIGURATION_H_
#define LIBS_CONFIG_NUMBERED_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/packing/packed_text.h"

namespace bilberryspool::config {

// The state machine that the replicated log of the control replicas drives.
// Deterministic.
class NumberedConfiguration {
 public:
  // Propose() encodes the command that proposes `text` as `version`. Apply()
  // returns whether the command changed the state: a command whose version
  // isn't higher than the current one has no effect, even if its text differs,
  // and neither have malformed bytes.
  static std::string Propose(std::uint64_t version,
                             const packing::PackedText& text);
  bool Apply(std::string_view command);

  // Converts the state to bytes and back. Import() returns false and leaves the
  // state unchanged if the bytes are malformed.
  std::string Export() const;
  bool Import(std::string_view bytes);

  // The version is 0 and the text empty before the first configuration.
  std::uint64_t version() const { return version_; }
  const packing::PackedText& text() const { return text_; }
  // Whether this version is the current one and has this text, unpacked.
  bool Holds(std::uint64_t version, std::string_view text) const;

 private:
  struct Decoded {
    std::uint64_t version = 0;
    std::string_view text;
  };
  static std::optional<Decoded> Decode(std::string_view bytes);

  std::uint64_t version_ = 0;
  packing::PackedText text_;
};

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_NUMBERED_CONFIGURATION_H_
