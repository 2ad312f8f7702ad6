#ifndef LIBS_SCENARIO_RANDOM_FAULTS_H_
#define LIBS_SCENARIO_RANDOM_FAULTS_H_

#include "libs/scenario/statement.h"
#include "libs/scenario/world.h"

namespace bilberryspool::scenario {

// Injects random faults (kills, freezes, cuts, degraded links), about one a
// second, while operators submit concurrent changes and callers send and resend
// requests. No disk is lost. At the end all nodes run and all links work.
void RunRandomFaults(World& world, const RandomFaults& faults);

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_RANDOM_FAULTS_H_
