#include "libs/storage/record_frame.h"

#include <optional>

#include <xxhash.h>

namespace bilberryspool::storage {
namespace {

constexpr std::uint64_t kMagic = 0x62737031;  // "1psb" in the file
constexpr std::size_t kMagicBytes = 4;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kHeaderBytes =
    kMagicBytes + kLengthBytes + kOffsetBytes + kChecksumBytes;

// Little-endian encoding of the lowest `count` bytes.
std::string ToBytes(std::uint64_t number, std::size_t count) {
  std::string bytes;
  for (std::size_t i = 0; i < count; ++i) {
    bytes.push_back(static_cast<char>((number >> (8 * i)) & 0xFFU));
  }
  return bytes;
}

std::uint64_t FromBytes(std::string_view bytes) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    number |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i]))
              << (8 * i);
  }
  return number;
}

std::uint64_t Checksum(std::uint64_t file,
                       std::uint64_t offset,
                       std::uint64_t synced_offset,
                       std::string_view payload) {
  const std::string place =
      ToBytes(file, 8) + ToBytes(offset, 8) + ToBytes(synced_offset, 8);
  const std::uint64_t seed = XXH3_64bits(place.data(), place.size());
  return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

struct Record {
  std::string_view payload;
  std::uint64_t synced_offset = 0;
  std::uint64_t end = 0;
};

std::optional<Record> RecordAt(std::string_view bytes,
                               std::uint64_t file,
                               std::uint64_t offset) {
  const std::string_view rest = bytes.substr(offset);
  if (rest.size() < kHeaderBytes ||
      FromBytes(rest.substr(0, kMagicBytes)) != kMagic) {
    return std::nullopt;
  }
  const std::uint64_t length =
      FromBytes(rest.substr(kMagicBytes, kLengthBytes));
  if (length > rest.size() - kHeaderBytes) {
    return std::nullopt;
  }
  Record record;
  record.synced_offset =
      FromBytes(rest.substr(kMagicBytes + kLengthBytes, kOffsetBytes));
  record.payload = rest.substr(kHeaderBytes, length);
  record.end = offset + kHeaderBytes + length;
  const std::uint64_t checksum =
      FromBytes(rest.substr(kHeaderBytes - kChecksumBytes, kChecksumBytes));
  if (checksum !=
      Checksum(file, offset, record.synced_offset, record.payload)) {
    return std::nullopt;
  }
  return record;
}

// Returns whether a later valid record proves that the bytes at `damaged` were
// synced before.
bool WasSynced(std::string_view bytes,
               std::uint64_t file,
               std::uint64_t damaged) {
  const std::string magic = ToBytes(kMagic, kMagicBytes);
  std::size_t place = bytes.find(magic, damaged + 1);
  while (place != std::string_view::npos) {
    const auto record = RecordAt(bytes, file, place);
    if (record && record->synced_offset > damaged) {
      return true;
    }
    place = bytes.find(magic, place + 1);
  }
  return false;
}

}  // namespace

std::string EncodeRecord(std::string_view payload,
                         std::uint64_t file,
                         std::uint64_t offset,
                         std::uint64_t synced_offset) {
  std::string bytes = ToBytes(kMagic, kMagicBytes);
  bytes += ToBytes(payload.size(), kLengthBytes);
  bytes += ToBytes(synced_offset, kOffsetBytes);
  bytes +=
      ToBytes(Checksum(file, offset, synced_offset, payload), kChecksumBytes);
  bytes += payload;
  return bytes;
}

ScanResult ScanRecords(std::string_view bytes, std::uint64_t file) {
  ScanResult result;
  while (result.valid_size < bytes.size()) {
    const auto record = RecordAt(bytes, file, result.valid_size);
    if (!record) {
      result.verdict = WasSynced(bytes, file, result.valid_size)
                           ? ScanVerdict::kCorrupt
                           : ScanVerdict::kTornTail;
      return result;
    }
    result.payloads.emplace_back(record->payload);
    result.valid_size = record->end;
  }
  return result;
}

}  // namespace bilberryspool::storage
