/// @file
/// What the routing tests share: a small table of engines in two regions.

#ifndef CAMPHORNOTCH_TESTS_ROUTING_ROUTING_FIXTURE_H
#define CAMPHORNOTCH_TESTS_ROUTING_ROUTING_FIXTURE_H

#include "core/routing/choice_func.h"
#include "core/routing/endpoint_table_base.h"
#include "core/routing/work_id_base.h"

#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// A table that is easy to fill.
struct RoutingFixture {
  /// The endpoints.
  EndpointTable Table{DataCentreId{"dc1"}, RegionId{"r1"}};
  /// Numbers for attempts.
  WorkIdSource WorkIds;
  /// The present.
  Millis Now{1000};

  /// Adds a reachable engine for the model "m".
  /// @param Name its name.
  /// @param DataCentre where it is; "dc3" is in another region.
  /// @param TokenMicros its speed.
  /// @param Slots its places.
  /// @return its index.
  EndpointIndex addEngine(const std::string &Name,
                          const std::string &DataCentre = "dc1",
                          int64_t TokenMicros = 10000, int32_t Slots = 4) {
    EndpointInfo Info;
    Info.Endpoint.Value = Name;
    Info.Host.Value = "host-" + Name;
    Info.Serves = "m";
    Info.DataCentre.Value = DataCentre;
    Info.Region.Value = DataCentre == "dc3" ? "r2" : "r1";
    const EndpointIndex Index = this->Table.upsert(Info);
    this->Table.setReachable(Index, true);
    this->report(Index, TokenMicros, Slots);
    return Index;
  }

  /// Gives an engine an idle figure.
  /// @param Index the engine.
  /// @param TokenMicros its speed.
  /// @param Slots its places.
  void report(EndpointIndex Index, int64_t TokenMicros, int32_t Slots = 4) {
    wire::LoadFigure Load;
    Load.Slots = Slots;
    Load.TokenMicros = TokenMicros;
    this->Table.noteLoad(Index, Load, this->Now);
  }
};

/// @tparam WantedT one kind of action.
/// @param Actions all actions.
/// @return those of the kind.
template <typename WantedT, typename ActionT>
std::vector<WantedT> actionsOf(const std::vector<ActionT> &Actions) {
  std::vector<WantedT> Found;
  for (const ActionT &Each : Actions)
    if (const auto *Wanted = std::get_if<WantedT>(&Each))
      Found.push_back(*Wanted);
  return Found;
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_ROUTING_ROUTING_FIXTURE_H
