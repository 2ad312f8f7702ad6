// Whether what a node has begun as the one that leads is still its own.
//
// A lease lapses for a moment whenever the node is short of processor time, and
// comes back in the same term: nobody else has led in between, so what was
// begun goes on. To begin anew then would leave a step held that nobody knows
// of, and the group would stand still until that is found out. In another term
// someone else may have led, and what was begun must not go on.
//
// Pure: events in, a verdict out.

#ifndef PLUGINS_CONTROL_NODE_LEADERSHIP_TERM_H_
#define PLUGINS_CONTROL_NODE_LEADERSHIP_TERM_H_

#include <optional>

#include "libs/base/ids.h"

namespace bilberryspool::control_node {

class LeadershipTerm {
 public:
  enum class Verdict {
    kNotLeading,  // does not lead now; what was begun is kept
    kSameTerm,    // leads, in the same term as before
    kNewTerm,     // leads in a term that is new to it
  };

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
