// The failure domains that operators have evacuated: their targets get no
// requests until the evacuation is withdrawn.
//
// Part of the state that the control replicas' log determines. Operators send
// an order again when no answer arrives, to any control node, so a copy of an
// order may arrive after a later order has been acknowledged. Each change
// therefore names the revision of its domain that the receiving node knew, and
// has no effect if the domain has changed since.
//
// Pure and deterministic.

#ifndef LIBS_EVACUATION_EVACUATION_REGISTRY_H_
#define LIBS_EVACUATION_EVACUATION_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libs/evacuation/evacuation_state.h"

namespace bilberryspool::evacuation {

// Maximum length of the name of a failure domain, in bytes.
inline constexpr std::size_t kMaxDomainNameBytes = 128;

struct EvacuationChange {
  FailureDomain domain;
  bool is_evacuated = false;
  // The change has no effect if the domain's revision is a different one.
  std::uint64_t expected_revision = 0;
};

class EvacuationRegistry {
 public:
  // Encodes a change as one line of text without line breaks.
  static std::string Encode(const EvacuationChange& change);
  static std::optional<EvacuationChange> Decode(std::string_view text);

  // Returns whether the change has taken effect.
  bool Apply(const EvacuationChange& change);

  bool IsEvacuated(const FailureDomain& domain) const;
  // Revision of the registry at the last change of the domain; 0 if there was
  // none.
  std::uint64_t RevisionOf(const FailureDomain& domain) const;
  // Increases with each change.
  std::uint64_t revision() const { return revision_; }
  EvacuationState state() const;

  // Converts the registry to one line of text and back. Import() returns false
  // and changes nothing if the text is malformed.
  std::string Export() const;
  bool Import(std::string_view text);

  // Number of domains on record, including those whose evacuation was
  // withdrawn.
  std::size_t size() const { return domains_.size(); }

 private:
  struct Domain {
    bool is_evacuated = false;
    std::uint64_t revision = 0;
  };

  // Erases the withdrawn domain that changed longest ago if the maximum number
  // of records is reached. Returns false if there is none.
  bool MakeRoom();

  std::map<FailureDomain, Domain> domains_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::evacuation

#endif  // LIBS_EVACUATION_EVACUATION_REGISTRY_H_
