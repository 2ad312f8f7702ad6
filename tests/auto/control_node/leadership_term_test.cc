#include "plugins/control_node/leadership_term.h"

#include <doctest/doctest.h>

namespace bilberryspool::control_node {
namespace {

using Verdict = LeadershipTerm::Verdict;

// Guards against a group being stalled for 1.5 s and all its streams being
// aborted. While a step is held, the node lacks processor time, and its lease
// lapses and is renewed in the same term. The change was dropped with the
// lease, and the hold was only found by polling all ranks again.
TEST_CASE("a lapse of the lease within a term keeps the work") {
  LeadershipTerm leadership_term;
  CHECK(leadership_term.Update(true, Term(4)) == Verdict::kNewTerm);
  CHECK(leadership_term.Update(true, Term(4)) == Verdict::kSameTerm);
  CHECK(leadership_term.Update(false, Term()) == Verdict::kNotLeading);
  CHECK(leadership_term.Update(false, Term()) == Verdict::kNotLeading);
  CHECK(leadership_term.Update(true, Term(4)) == Verdict::kSameTerm);
}

TEST_CASE("another term ends the work") {
  LeadershipTerm leadership_term;
  CHECK(leadership_term.Update(true, Term(4)) == Verdict::kNewTerm);
  CHECK(leadership_term.Update(false, Term()) == Verdict::kNotLeading);
  CHECK(leadership_term.Update(true, Term(6)) == Verdict::kNewTerm);
  CHECK(leadership_term.Update(true, Term(6)) == Verdict::kSameTerm);
}

TEST_CASE("a node that has never led starts with a new term") {
  LeadershipTerm leadership_term;
  CHECK(leadership_term.Update(false, Term()) == Verdict::kNotLeading);
  CHECK(leadership_term.Update(true, Term(1)) == Verdict::kNewTerm);
}

}  // namespace
}  // namespace bilberryspool::control_node
