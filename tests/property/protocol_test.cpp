/// @file
/// Stateful property tests of the protocol: random commands and faults.

#include "world.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace camphornotch::property;

namespace {

/// Longest sequence of commands.
constexpr int MaxCommands = 400;

/// Sets how many cases run, unless the caller did.
void chooseCases() {
  const char *Given = std::getenv("RC_PARAMS");
  std::string Params = Given ? Given : "seed=20261204";
  if (Params.find("max_success") == std::string::npos)
    Params += " max_success=1500";
  setenv("RC_PARAMS", Params.c_str(), 1);
}

/// Runs commands until one breaks an invariant.
/// @param Commands the commands.
/// @return the fault; empty if none.
std::string run(const std::vector<uint16_t> &Commands) {
  World All;
  for (const uint16_t Command : Commands) {
    All.step(Command);
    if (!All.fault().empty())
      return All.fault();
  }
  All.heal();
  return All.fault();
}

} // namespace

Test(protocol, any_commands_and_faults_keep_every_promise) {
  chooseCases();
  const bool Held = rc::check("every promise of the oracle holds", [] {
    const auto Commands = *rc::gen::resize(
        MaxCommands, rc::gen::container<std::vector<uint16_t>>(rc::gen::resize(
                         100, rc::gen::inRange<uint16_t>(0, 25 * 3 * 64))));
    const std::string Fault = run(Commands);
    if (!Fault.empty())
      RC_FAIL(Fault);
  });
  cr_assert(Held);
}
