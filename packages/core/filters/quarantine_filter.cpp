/// @file
/// Refuses requests that have crashed endpoints.

#include "core/filters/filter_chain_base.h"

namespace camphornotch {

std::optional<Refusal> QuarantineFilter::apply(RequestContext &Context,
                                               const FilterWorld &World) {
  const auto Found = World.Quarantined.find(Context.Digest);
  const bool Held = Found != World.Quarantined.end() &&
                    !Found->second.Released &&
                    Found->second.UntilWallMs > World.WallNow.Count;
  if (!Held)
    return std::nullopt;
  return notRun(RefusalReason::Quarantined, Found->second.Evidence);
}

} // namespace camphornotch
