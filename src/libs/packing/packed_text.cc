#include "libs/packing/packed_text.h"

#include <sodium.h>
#include <zstd.h>

namespace bilberryspool::packing {

namespace {

// A configuration never starts with this prefix, as it would not be JSON.
constexpr std::string_view kPackedPrefix = "zstd:";
// zstd's default level.
constexpr int kLevel = 3;
constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL_NO_PADDING;

std::string ToBase64(const std::string& bytes) {
  std::string text(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kVariant);
  text.pop_back();  // terminating NUL
  return text;
}

std::optional<std::string> FromBase64(std::string_view text) {
  std::string bytes(text.size(), '\0');
  std::size_t length = 0;
  const char* end = nullptr;
  const int failed = sodium_base642bin(
      reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
      text.size(), nullptr, &length, &end, kVariant);
  if (failed != 0 || end != text.data() + text.size()) {
    return std::nullopt;
  }
  bytes.resize(length);
  return bytes;
}

}  // namespace

PackedText Pack(std::string_view text) {
  std::string bytes(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress(bytes.data(), bytes.size(),
                                         text.data(), text.size(), kLevel);
  if (ZSTD_isError(size) != 0) {
    // Out of memory: the uncompressed text is valid, too.
    return PackedText{std::string(text)};
  }
  bytes.resize(size);
  return PackedText{std::string(kPackedPrefix) + ToBase64(bytes)};
}

std::optional<std::string> Unpack(const PackedText& packed,
                                  std::size_t max_bytes) {
  const std::string_view value = packed.value;
  if (value.substr(0, kPackedPrefix.size()) != kPackedPrefix) {
    return value.size() <= max_bytes ? std::optional(packed.value)
                                     : std::nullopt;
  }
  const auto bytes = FromBase64(value.substr(kPackedPrefix.size()));
  if (!bytes.has_value()) {
    return std::nullopt;
  }
  const unsigned long long declared_size =
      ZSTD_getFrameContentSize(bytes->data(), bytes->size());
  if (declared_size == ZSTD_CONTENTSIZE_UNKNOWN ||
      declared_size == ZSTD_CONTENTSIZE_ERROR || declared_size > max_bytes) {
    return std::nullopt;
  }
  std::string text(static_cast<std::size_t>(declared_size), '\0');
  const std::size_t size =
      ZSTD_decompress(text.data(), text.size(), bytes->data(), bytes->size());
  if (ZSTD_isError(size) != 0 || size != text.size()) {
    return std::nullopt;
  }
  return text;
}

}  // namespace bilberryspool::packing
