/// @file
/// Refuses requests that have crashed endpoints.

#include "core/filters/filter_chain_base.h"

namespace camphornotch {

std::optional<Refusal>
QuarantineFilter::apply(RequestContext &Context,
                        const FilterEnvironment &Environment) {
  const auto Found = Environment.Quarantined.find(Context.Digest);
  const bool IsQuarantined =
      Found != Environment.Quarantined.end() && !Found->second.Released &&
      Found->second.UntilWallMs > Environment.WallNow.Count;
  if (!IsQuarantined)
    return std::nullopt;
  return notRun(RefusalReason::Quarantined, Found->second.Evidence);
}

} // namespace camphornotch
