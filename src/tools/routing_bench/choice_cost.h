#ifndef TOOLS_ROUTING_BENCH_CHOICE_COST_H_
#define TOOLS_ROUTING_BENCH_CHOICE_COST_H_

namespace bilberryspool::routing_bench {

// Prints the processor time of one routed request (choice, start, first token,
// end) for several numbers of targets, and that of one admitted request.
void PrintChoiceCosts();

}  // namespace bilberryspool::routing_bench

#endif  // TOOLS_ROUTING_BENCH_CHOICE_COST_H_
