#ifndef LIBS_LANGUAGE_PRINTER_H_
#define LIBS_LANGUAGE_PRINTER_H_

#include <string>

#include "libs/language/statement.h"

namespace bilberryspool::language {

// Text that parses to this statement. Changes that only the system itself
// issues have no syntax and are printed as a remark in parentheses.
std::string Print(const Statement& statement);

// Prints one change in the syntax of a statement.
std::string Print(const config::Change& change);

// Prints the change that declares the object.
template <typename Spec>
std::string PrintDeclaration(const Spec& spec) {
  return Print(config::Change(config::Declare<Spec>{spec}));
}

}  // namespace bilberryspool::language

#endif  // LIBS_LANGUAGE_PRINTER_H_
