#include "libs/membership/rendezvous.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::membership {
namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

}  // namespace

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  std::uint64_t hash = kFnvOffset ^ seed;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  // Finalizer of MurmurHash3: FNV alone mixes the last characters poorly.
  hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33U);
}

std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> candidates,
                                          std::size_t count) {
  const std::uint64_t seed = StableHash(key);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(candidates.size());
  for (std::string& candidate : candidates) {
    const std::uint64_t score = StableHash(candidate, seed);
    ranked.emplace_back(score, std::move(candidate));
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> best;
  for (auto& [score, candidate] : ranked) {
    if (best.size() == count) {
      break;
    }
    best.push_back(std::move(candidate));
  }
  return best;
}

std::uint64_t DigestOfNames(const std::vector<std::string>& names) {
  std::uint64_t digest = 0;
  for (const std::string& name : names) {
    digest += StableHash(name);
  }
  return digest;
}

}  // namespace bilberryspool::membership
