#include "libs/language/statement.h"

namespace bilberryspool::language {

config::Command ToCommand(const ChangeStatement& statement,
                          const CommandId& default_id,
                          const config::OperatorId& operator_id,
                          std::optional<LogIndex> issued_after) {
  return {statement.id.value_or(default_id), operator_id, statement.expected,
          statement.changes, issued_after};
}

}  // namespace bilberryspool::language
