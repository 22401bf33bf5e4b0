/// @file
/// Names the request and its caller.

#include "core/filters/filter_chain_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Longest name of a caller or request.
constexpr size_t MaxNameBytes = 128;

/// @param Name a name that a caller gives.
/// @return whether it can stand in logs and messages as it is.
bool usableName(std::string_view Name) {
  const auto Printable = [](char Letter) {
    return Letter > ' ' && Letter < '\x7f' && Letter != '"' && Letter != '\\';
  };
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::all_of(Name.begin(), Name.end(), Printable);
}

} // namespace

std::optional<Refusal> IdentityFilter::apply(RequestContext &Context,
                                             const FilterWorld &World) {
  const bool OwnId = usableName(Context.IdHeader);
  Context.RequestId = OwnId ? Context.IdHeader : World.FreshId;
  const bool Named = usableName(Context.CallerHeader);
  Context.Caller = Named ? Context.CallerHeader : Context.Peer;
  return std::nullopt;
}

} // namespace camphornotch
