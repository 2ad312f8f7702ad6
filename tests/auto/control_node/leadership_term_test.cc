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

// Guards against two tasks of one node that send orders to the same group: one
// of an earlier term went on as soon as the node led again.
TEST_CASE("work of an earlier term does not go on in a later one") {
  struct Row {
    bool leads;
    Term now;
    bool expected;
  };
  for (const Row& row :
       {Row{true, Term(4), true}, Row{false, Term(4), false},
        Row{true, Term(6), false}, Row{false, Term(), false}}) {
    CAPTURE(row.now.value());
    CHECK(LeadershipTerm::MayAct(row.leads, row.now, Term(4)) == row.expected);
  }
}

TEST_CASE("a node that has never led starts with a new term") {
  LeadershipTerm leadership_term;
  CHECK(leadership_term.Update(false, Term()) == Verdict::kNotLeading);
  CHECK(leadership_term.Update(true, Term(1)) == Verdict::kNewTerm);
}

}  // namespace
}  // namespace bilberryspool::control_node
