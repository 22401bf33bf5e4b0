/// @file
/// A loader's engine among entries that may be old.

#include "core/gateway/endpoint_pool_base.h"
#include "core/loads/engine_place_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// Registered endpoints.
struct PlaceFixture {
  /// The endpoints.
  EndpointPool Pool{Geography{"dc", {}}};

  /// @param Id the endpoint's id.
  /// @param Port its port.
  /// @param StartedAtMs when it started.
  void add(const std::string &Id, uint16_t Port, int64_t StartedAtMs) {
    EndpointRecord Record;
    Record.Id = EndpointId{Id};
    Record.Service = "s";
    Record.ListenAddress = Address{"10.0.0.1", Port};
    Record.StartedAtMs = StartedAtMs;
    this->Pool.put(std::move(Record));
  }

  /// @param Port the engine's port.
  /// @param Wrong ids that it is not.
  /// @return what is found.
  std::optional<OwnEngine> own(uint16_t Port,
                               const std::set<EndpointId> &Wrong = {}) const {
    return findOwnEngine(this->Pool.all(), "s", Address{"10.0.0.1", Port},
                         Wrong);
  }
};

} // namespace

Test(findOwnEngine, oldEntryAtTheSameAddress_isNotTaken) {
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

Test(findOwnEngine, idThatTheEngineDenied_isNotTaken) {
  PlaceFixture Each;
  Each.add("true", 1, 100);
  Each.add("false", 1, 900);
  cr_assert(Each.own(1, {EndpointId{"false"}})->Id.Value == "true");
}

Test(findOwnEngine, noEntry_isAbsent) {
  PlaceFixture Each;
  Each.add("a", 1, 100);
  cr_assert(!Each.own(9).has_value());
}
