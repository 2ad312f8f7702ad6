#include "libs/config/numbered_configuration.h"

#include <charconv>

namespace bilberryspool::config {

// The format is "VERSION\nTEXT". The text is opaque and may be large, so it is
// not quoted.
std::string NumberedConfiguration::Propose(std::uint64_t version,
                                           const packing::PackedText& text) {
  std::string command = std::to_string(version);
  command += '\n';
  command += text.value;
  return command;
}

bool NumberedConfiguration::Holds(std::uint64_t version,
                                  std::string_view text) const {
  return version == version_ && packing::Unpack(text_) == text;
}

std::optional<NumberedConfiguration::Decoded> NumberedConfiguration::Decode(
    std::string_view bytes) {
  const std::size_t end = bytes.find('\n');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  Decoded decoded;
  const char* last = bytes.data() + end;
  const auto parsed = std::from_chars(bytes.data(), last, decoded.version);
  if (parsed.ec != std::errc() || parsed.ptr != last) {
    return std::nullopt;
  }
  decoded.text = bytes.substr(end + 1);
  return decoded;
}

bool NumberedConfiguration::Apply(std::string_view command) {
  const auto decoded = Decode(command);
  if (!decoded.has_value() || decoded->version <= version_) {
    return false;
  }
  version_ = decoded->version;
  text_.value = std::string(decoded->text);
  return true;
}

std::string NumberedConfiguration::Export() const {
  return Propose(version_, text_);
}

bool NumberedConfiguration::Import(std::string_view bytes) {
  const auto decoded = Decode(bytes);
  if (!decoded.has_value()) {
    return false;
  }
  version_ = decoded->version;
  text_.value = std::string(decoded->text);
  return true;
}

}  // namespace bilberryspool::config
