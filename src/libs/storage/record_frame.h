// Frames of records in a file: magic, length, synced offset (the number of
// bytes of the file that were synced when the record was written), checksum,
// payload.
//
// The checksum also covers the file number and the offset, so that stale bytes
// of an earlier file are not accepted as a record of this one. The synced
// offset distinguishes a torn tail, which a crash may leave behind, from damage
// to synced bytes: a valid record that was written when the damaged offset was
// already synced proves damage. Damage to the last synced record can't be
// distinguished from a torn tail.

#ifndef LIBS_STORAGE_RECORD_FRAME_H_
#define LIBS_STORAGE_RECORD_FRAME_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryspool::storage {

// Encodes a record that starts at `offset` of file number `file`, all of whose
// bytes before `synced_offset` are synced.
std::string EncodeRecord(std::string_view payload,
                         std::uint64_t file,
                         std::uint64_t offset,
                         std::uint64_t synced_offset);

enum class ScanVerdict {
  kClean,
  // The bytes from `valid_size` on are the rest of an unsynced write that a
  // crash cut off.
  kTornTail,
  // Synced bytes are damaged.
  kCorrupt,
};

struct ScanResult {
  ScanVerdict verdict = ScanVerdict::kClean;
  std::vector<std::string> payloads;
  std::uint64_t valid_size = 0;
};

// Reads all records of file number `file`.
ScanResult ScanRecords(std::string_view bytes, std::uint64_t file);

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_RECORD_FRAME_H_
