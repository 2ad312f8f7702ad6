#include "plugins/operators/help_text.h"

#include <string>

#include "libs/language/statement.h"

namespace bilberryspool::operators {

namespace {

constexpr const char* kStatementForms[] = {
    "changes, joined by \";\" they take effect together or not at all:",
    "  declare service NAME engine [deadline 5s]",
    "  declare service NAME plain path \"/PATH\" [idempotent] [deadline 5s]",
    "  declare priority NAME level N",
    "  declare workspace NAME [requests N] [concurrent N] [tokens N]",
    "    [weight N] [priority NAME]",
    "  declare group NAME service NAME ranks N layers N experts N",
    "    members T,T|on domain NAME|on any",
    "  declare target NAME fencing yes|no",
    "  remove service|priority|workspace|group|target NAME",
    "  allow|deny service NAME on target NAME|domain NAME|any",
    "  drain|undrain target NAME|domain NAME|any",
    "  pin group G layer N expert N to rank N; unpin group G layer N expert N",
    "  move group G layer N expert N from rank N to rank N",
    "  replace member NAME with NAME at IP:PORT in domain NAME",
    "  set NAME N; unset NAME",
    "  ... at version N      refused if anything changed after N",
    "  ... since version N   refused if the same objects changed after N",
    "  ... as \"ID\"           the id of the command",
    "plan CHANGES            what they would do",
    "wait version N [timeout 30s]",
    "why target|service|group|workspace NAME, why request \"ID\"",
    "show request \"ID\"",
};

}  // namespace

language::Answer AnswerHelp() {
  language::Answer answer;
  answer.notes.assign(std::begin(kStatementForms), std::end(kStatementForms));
  std::string subjects = "show";
  const char* separator = " ";
  for (const language::SubjectWord& word : language::kSubjectWords) {
    subjects += separator + std::string(word.word);
    separator = "|";
  }
  answer.notes.push_back(subjects + " [where COLUMN =|!=|<|>|~ VALUE and ...]");
  return answer;
}

}  // namespace bilberryspool::operators
