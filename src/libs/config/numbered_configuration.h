// A configuration that is replaced as a whole and numbered from outside: the
// highest number wins, in whatever order the proposals arrive.

#ifndef LIBS_CONFIG_NUMBERED_CONFIGURATION_H_
#define LIBS_CONFIG_NUMBERED_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/packing/packed_text.h"

namespace bilberryspool::config {

// What the log of the control replicas decides. Deterministic.
class NumberedConfiguration {
 public:
  // The command that proposes `text` under `version`, and whether Apply() took
  // it over: a command with the number in force, or a lower one, changes
  // nothing, also where its text differs. Malformed bytes change nothing.
  static std::string Propose(std::uint64_t version,
                             const packing::PackedText& text);
  bool Apply(std::string_view command);

  // The state as bytes, and back. False where the bytes are malformed; the
  // state is then unchanged.
  std::string Export() const;
  bool Import(std::string_view bytes);

  // 0 and empty before the first configuration.
  std::uint64_t version() const { return version_; }
  const packing::PackedText& text() const { return text_; }

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
