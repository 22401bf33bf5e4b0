/// @file
/// Which gateways get the state of a loader's engine.

#include "core/loads/state_push_base.h"

#include <criterion/criterion.h>
#include <string>

using namespace camphornotch;

namespace {

/// A loader of a large deployment: 133 gateways, of which 24 own partitions.
struct StatePushFixture {
  static constexpr size_t GatewayCount = 133;
  static constexpr size_t OwnerCount = 24;
  StatePush Push;
  EngineLoad State;
  std::vector<HostId> Gateways;

  StatePushFixture() {
    this->State.Versions["model"] = 4;
    for (size_t Number = 0; Number < GatewayCount; ++Number) {
      this->Gateways.push_back(HostId{"gateway-" + std::to_string(Number)});
      this->Push.setWanted(this->Gateways.back(), Number < OwnerCount);
    }
  }

  size_t sentAt(int64_t Now) {
    return this->Push.recipients(this->Gateways, this->State, Millis{Now})
        .size();
  }
};

} // namespace

Test(statePush, reportsOfOneSecond_areSentToOwnersAndOnceToAll) {
  StatePushFixture Net;
  size_t Messages = 0;
  constexpr int64_t ReportInterval = 200;
  for (int64_t Now = 0; Now < 1'000; Now += ReportInterval) {
    ++Net.State.Running;
    Messages += Net.sentAt(Now);
  }
  cr_assert_eq(Messages, Net.GatewayCount + 4 * Net.OwnerCount);
}

Test(statePush, newVersion_isSentToAllAtOnce) {
  StatePushFixture Net;
  Net.sentAt(0);
  Net.State.Versions["model"] = 5;
  cr_assert_eq(Net.sentAt(200), Net.GatewayCount);
  Net.State.LoadingModel = "model";
  cr_assert_eq(Net.sentAt(400), Net.GatewayCount);
  cr_assert_eq(Net.sentAt(600), Net.OwnerCount);
}

Test(statePush, gatewayThatBeginsToPlaceWork_getsEachReport) {
  StatePushFixture Net;
  Net.sentAt(0);
  cr_assert_eq(Net.sentAt(200), Net.OwnerCount);
  Net.Push.setWanted(Net.Gateways.back(), true);
  cr_assert_eq(Net.sentAt(400), Net.OwnerCount + 1);
}

Test(statePush, gatewayThatNeverSaid_getsEachReport) {
  StatePushFixture Net;
  Net.sentAt(0);
  Net.Gateways.push_back(HostId{"older-release"});
  cr_assert_eq(Net.sentAt(200), Net.OwnerCount + 1);
  Net.Push.remove(Net.Gateways[100]);
  cr_assert_eq(Net.sentAt(400), Net.OwnerCount + 2);
}
