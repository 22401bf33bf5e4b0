/// @file
/// Tests of the index of endpoints.

#include "core/gateway/endpoint_pool_base.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// @return the first endpoint of the service with the least outstanding work,
///   found without the index.
std::string expectedChoice(const EndpointPool &Pool, std::string_view Service) {
  const EndpointState *Best = nullptr;
  for (const auto &[Id, State] : Pool.all())
    if (State.Record.Service == Service &&
        (Best == nullptr || State.Outstanding < Best->Outstanding))
      Best = &State;
  return Best == nullptr ? "" : Best->Record.Id.Value;
}

/// @return the running work of the endpoints with an address, added up.
int64_t runningAt(const EndpointPool &Pool, const Address &ListenAddress) {
  int64_t Sum = 0;
  for (const auto &[Id, State] : Pool.all())
    if (State.Record.ListenAddress == ListenAddress && State.Load.has_value())
      Sum += State.Load->Running;
  return Sum;
}

} // namespace

// Guards against an index that differs from the endpoints after registrations,
// new lifetimes, changes of service or address, and removals.
Test(endpointIndex, anyChanges_choiceAndReportsFindTheSameEndpoints) {
  cr_assert(rc::check([] {
    EndpointPool Pool{Geography{"dc-0", {{"dc-0", "r"}, {"dc-1", "r"}}},
                      LeastOutstandingChoice{}};
    const Millis Now = seconds(10);
    for (int Step = 0; Step < 60; ++Step) {
      EndpointRecord Record;
      Record.Id = EndpointId{std::to_string(*rc::gen::inRange(0, 8))};
      Record.StartedAtMs = *rc::gen::inRange(1, 3);
      Record.Service = *rc::gen::element<std::string>("s", "t");
      Record.DataCentre = *rc::gen::element<std::string>("dc-0", "dc-1", "x");
      Record.ListenAddress =
          Address{"10.0.0." + std::to_string(*rc::gen::inRange(0, 3)), 80};
      const Address ListenAddress = Record.ListenAddress;
      const EndpointId Id = Record.Id;
      if (*rc::gen::inRange(0, 4) == 0)
        Pool.remove(Id);
      else
        Pool.put(std::move(Record));
      Pool.workStarted(Id);
      EngineLoad Load;
      Load.Running = 1;
      Pool.loadReported(ListenAddress, Load, Now);
      int64_t Sharing = 0;
      for (const auto &[Other, State] : Pool.all())
        Sharing += State.Record.ListenAddress == ListenAddress ? 1 : 0;
      RC_ASSERT(runningAt(Pool, ListenAddress) == Sharing);
      for (const std::string_view Service : {"s", "t"}) {
        const EndpointState *Chosen =
            Pool.choose(EndpointQuery{Service, "", 0, {}, 0}, Now);
        const std::string Name =
            Chosen == nullptr ? "" : Chosen->Record.Id.Value;
        RC_ASSERT(Name == expectedChoice(Pool, Service));
      }
    }
  }));
}
