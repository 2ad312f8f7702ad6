// Decides whether work that a node started as the leader is still valid.
//
// The lease lapses for a moment whenever the node lacks processor time, and is
// renewed in the same term: no other node has led in between, so the work
// continues. Starting over would leave a held step that no node knows of, and
// the group would be stalled until it is detected. In another term, another
// node may have led, and the work must not continue.
//
// Pure: takes events, returns a verdict.

#ifndef PLUGINS_CONTROL_NODE_LEADERSHIP_TERM_H_
#define PLUGINS_CONTROL_NODE_LEADERSHIP_TERM_H_

#include <optional>

#include "libs/base/ids.h"

namespace bilberryspool::control_node {

class LeadershipTerm {
 public:
  enum class Verdict {
    kNotLeading,  // does not lead now; its work is kept
    kSameTerm,    // leads in the same term as before
    kNewTerm,     // leads in a new term
  };

  // Whether work that was started in `started` may go on now.
  static bool MayAct(bool leads, Term now, Term started) {
    return leads && now == started;
  }

  Verdict Update(bool leads, Term term) {
    if (!leads) {
      return Verdict::kNotLeading;
    }
    const bool is_same = term_ == term;
    term_ = term;
    return is_same ? Verdict::kSameTerm : Verdict::kNewTerm;
  }

 private:
  std::optional<Term> term_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_LEADERSHIP_TERM_H_
