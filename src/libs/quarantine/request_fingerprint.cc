#include "libs/quarantine/request_fingerprint.h"

#include <sodium.h>

#include <array>
#include <charconv>
#include <initializer_list>

namespace bilberryspool::quarantine {

namespace {

constexpr std::size_t kHexDigitsPerHalf = 16;
constexpr int kHexBase = 16;
constexpr std::uint64_t kPromptPartBit = 1ULL << 63U;

std::string HalfToText(std::uint64_t half) {
  std::array<char, kHexDigitsPerHalf> digits{};
  const auto written = std::to_chars(
      digits.data(), digits.data() + digits.size(), half, kHexBase);
  const std::string text(digits.data(), written.ptr);
  return std::string(kHexDigitsPerHalf - text.size(), '0') + text;
}

std::optional<std::uint64_t> HalfFromText(std::string_view text) {
  std::uint64_t half = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, half, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return half;
}

// Hashes each part after its length, so that different lists of parts never
// give the same bytes.
void Add(crypto_generichash_state& state, std::string_view part) {
  const std::uint64_t length = part.size();
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char*>(&length), sizeof(length));
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char*>(part.data()), part.size());
}

RequestFingerprint Digest(std::initializer_list<std::string_view> parts) {
  constexpr std::size_t kBytes = 2 * sizeof(std::uint64_t);
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, kBytes);
  for (const std::string_view part : parts) {
    Add(state, part);
  }
  std::array<std::uint64_t, 2> halves{};
  crypto_generichash_final(
      &state, reinterpret_cast<unsigned char*>(halves.data()), kBytes);
  return {halves[0], halves[1]};
}

}  // namespace

std::string RequestFingerprint::ToText() const {
  return HalfToText(high) + HalfToText(low);
}

std::optional<RequestFingerprint> RequestFingerprint::FromText(
    std::string_view text) {
  if (text.size() != 2 * kHexDigitsPerHalf) {
    return std::nullopt;
  }
  const auto high = HalfFromText(text.substr(0, kHexDigitsPerHalf));
  const auto low = HalfFromText(text.substr(kHexDigitsPerHalf));
  if (!high.has_value() || !low.has_value()) {
    return std::nullopt;
  }
  return RequestFingerprint{*high, *low};
}

bool RequestFingerprint::is_prompt_part() const {
  return (high & kPromptPartBit) != 0;
}

RequestFingerprint FingerprintOf(const RequestIdentity& identity) {
  RequestFingerprint fingerprint =
      Digest({identity.workspace.value(), identity.method, identity.host,
              identity.target, identity.body});
  fingerprint.high &= ~kPromptPartBit;
  return fingerprint;
}

RequestFingerprint FingerprintOfPromptPart(std::string_view id) {
  RequestFingerprint fingerprint = Digest({id});
  fingerprint.high |= kPromptPartBit;
  return fingerprint;
}

}  // namespace bilberryspool::quarantine
