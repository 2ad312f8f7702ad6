#ifndef LIBS_BASE_OVERLOADED_H_
#define LIBS_BASE_OVERLOADED_H_

namespace bilberryspool {

// Combines lambdas into a visitor for std::visit.
template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace bilberryspool

#endif  // LIBS_BASE_OVERLOADED_H_
