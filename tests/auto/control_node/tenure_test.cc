#include "plugins/control_node/tenure.h"

#include <doctest/doctest.h>

namespace bilberryspool::control_node {
namespace {

using Verdict = Tenure::Verdict;

// Symptom: a group stands still for 1.5 s, and all its streams are cut off.
// Sequence: a step is held; the node is short of processor time, its lease
// lapses and comes back in the same term. Cause: the change was dropped with
// the lease, and the hold was only found by looking at all ranks anew.
TEST_CASE("a lapse within a term keeps what was begun") {
  Tenure tenure;
  CHECK(tenure.Note(true, Term(4)) == Verdict::kBeginsAnew);
  CHECK(tenure.Note(true, Term(4)) == Verdict::kActs);
  CHECK(tenure.Note(false, Term()) == Verdict::kRests);
  CHECK(tenure.Note(false, Term()) == Verdict::kRests);
  CHECK(tenure.Note(true, Term(4)) == Verdict::kActs);
}

TEST_CASE("another term ends what was begun") {
  Tenure tenure;
  CHECK(tenure.Note(true, Term(4)) == Verdict::kBeginsAnew);
  CHECK(tenure.Note(false, Term()) == Verdict::kRests);
  CHECK(tenure.Note(true, Term(6)) == Verdict::kBeginsAnew);
  CHECK(tenure.Note(true, Term(6)) == Verdict::kActs);
}

TEST_CASE("who has never led has nothing to keep") {
  Tenure tenure;
  CHECK(tenure.Note(false, Term()) == Verdict::kRests);
  CHECK(tenure.Note(true, Term(1)) == Verdict::kBeginsAnew);
}

}  // namespace
}  // namespace bilberryspool::control_node
