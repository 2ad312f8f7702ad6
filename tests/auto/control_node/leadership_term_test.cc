#include "plugins/control_node/leadership_term.h"

#include <doctest/doctest.h>

namespace bilberryspool::control_node {
namespace {

using Verdict = LeadershipTerm::Verdict;

// Symptom: a group stands still for 1.5 s, and all its streams are cut off.
// Sequence: a step is held; the node is short of processor time, its lease
// lapses and comes back in the same term. Cause: the change was dropped with
// the lease, and the hold was only found by looking at all ranks anew.
TEST_CASE("a lapse within a term keeps what was begun") {
  LeadershipTerm leadership_term;
  CHECK(leadership_term.Update(true, Term(4)) == Verdict::kNewTerm);
  CHECK(leadership_term.Update(true, Term(4)) == Verdict::kSameTerm);
  CHECK(leadership_term.Update(false, Term()) == Verdict::kNotLeading);
  CHECK(leadership_term.Update(false, Term()) == Verdict::kNotLeading);
  CHECK(leadership_term.Update(true, Term(4)) == Verdict::kSameTerm);
}

TEST_CASE("another term ends what was begun") {
  LeadershipTerm leadership_term;
  CHECK(leadership_term.Update(true, Term(4)) == Verdict::kNewTerm);
  CHECK(leadership_term.Update(false, Term()) == Verdict::kNotLeading);
  CHECK(leadership_term.Update(true, Term(6)) == Verdict::kNewTerm);
  CHECK(leadership_term.Update(true, Term(6)) == Verdict::kSameTerm);
}

TEST_CASE("who has never led has nothing to keep") {
  LeadershipTerm leadership_term;
  CHECK(leadership_term.Update(false, Term()) == Verdict::kNotLeading);
  CHECK(leadership_term.Update(true, Term(1)) == Verdict::kNewTerm);
}

}  // namespace
}  // namespace bilberryspool::control_node
