// Answers that depend only on the accepted configuration. Tables of the runtime
// state are built by the components that own that state.

#ifndef LIBS_LANGUAGE_CONFIG_ANSWERS_H_
#define LIBS_LANGUAGE_CONFIG_ANSWERS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "libs/config/configuration.h"
#include "libs/config/outcome.h"
#include "libs/config/state_machine.h"
#include "libs/language/answer.h"
#include "libs/language/parser.h"
#include "libs/language/statement.h"

namespace bilberryspool::language {

// The requested table with the statement's filters applied; none if the subject
// isn't part of the configuration (targets, domains).
std::optional<Answer> AnswerShow(const ShowStatement& statement,
                                 const config::Configuration& configuration);

// Describes the subject's configuration in one sentence per fact: who may serve
// it, what is drained, who changed it last. Empty if nothing is declared for
// it.
std::vector<std::string> ExplainFromConfiguration(
    const WhySubject& about,
    const config::Configuration& configuration);

Answer AnswerOutcome(const config::Outcome& outcome);
Answer AnswerPlan(const config::PlanResult& plan);
Answer AnswerParseError(const ParseError& error);

// The number of nodes that have a version in force, and the nodes that don't.
struct InForce {
  ConfigVersion version;
  // Number of all nodes.
  std::size_t nodes = 0;
  // Nodes that don't have the version in force yet.
  std::vector<NodeId> lacking;
};
Answer AnswerInForce(const InForce& in_force);

}  // namespace bilberryspool::language

#endif  // LIBS_LANGUAGE_CONFIG_ANSWERS_H_
