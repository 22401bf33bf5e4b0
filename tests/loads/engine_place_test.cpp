/// @file
/// Tests of finding a loader's engine among outdated registrations.

#include "core/gateway/endpoint_pool_base.h"
#include "core/loads/engine_place_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// A pool of registered endpoints.
struct PlaceFixture {
  EndpointPool Pool{Geography{"dc", {}}};

  void add(const std::string &Id, uint16_t Port, int64_t StartedAtMs) {
    EndpointRecord Record;
    Record.Id = EndpointId{Id};
    Record.Service = "s";
    Record.ListenAddress = Address{"10.0.0.1", Port};
    Record.StartedAtMs = StartedAtMs;
    this->Pool.put(std::move(Record));
  }

  /// @param DeniedIds ids that the engine denied.
  std::optional<OwnEngine> own(uint16_t Port,
                               const std::set<EndpointId> &DeniedIds = {},
                               std::string_view Service = "s") const {
    return findOwnEngine(this->Pool.all(), Service, Address{"10.0.0.1", Port},
                         DeniedIds);
  }
};

} // namespace

Test(findOwnEngine, olderRegistrationAtTheSameAddress_isIgnored) {
  PlaceFixture Each;
  Each.add("z-old", 1, 100);
  Each.add("a-new", 1, 200);
  Each.add("m", 2, 100);
  const auto Own = Each.own(1);
  cr_assert(Own.has_value());
  cr_assert(Own->Id.Value == "a-new");
  cr_assert_eq(Own->Place.Count, 2, "an address counts once");
  cr_assert_eq(Own->Place.Rank, 0);
  cr_assert_eq(Each.own(2)->Place.Rank, 1);
}

Test(findOwnEngine, idThatTheEngineDenied_isIgnored) {
  PlaceFixture Each;
  Each.add("true", 1, 100);
  Each.add("false", 1, 900);
  cr_assert(Each.own(1, {EndpointId{"false"}})->Id.Value == "true");
}

// Guards against a loader that does not start without the name of its service.
Test(findOwnEngine, serviceNotGiven_isThatOfTheRegistration) {
  PlaceFixture Each;
  Each.add("a", 1, 100);
  Each.add("b", 2, 100);
  const auto Own = Each.own(2, {}, "");
  cr_assert(Own.has_value());
  cr_assert(Own->Id.Value == "b");
  cr_assert_eq(Own->Place.Count, 2);
  cr_assert(!Each.own(9, {}, "").has_value());
}

Test(findOwnEngine, unregisteredEngine_isAbsent) {
  PlaceFixture Each;
  Each.add("a", 1, 100);
  cr_assert(!Each.own(9).has_value());
}
