/// @file
/// Determines the request's id and caller.

#include "core/filters/filter_chain_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Maximum length of a caller name or request id.
constexpr size_t MaxNameBytes = 128;

/// @return whether a name given by a caller can be written to logs and messages
///         without escaping.
bool isUsableName(std::string_view Name) {
  const auto Printable = [](char Letter) {
    return Letter > ' ' && Letter < '\x7f' && Letter != '"' && Letter != '\\';
  };
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::all_of(Name.begin(), Name.end(), Printable);
}

} // namespace

std::optional<Refusal>
IdentityFilter::apply(RequestContext &Context,
                      const FilterEnvironment &Environment) {
  const bool OwnId = isUsableName(Context.IdHeader);
  Context.RequestId = OwnId ? Context.IdHeader : Environment.NewRequestId;
  const bool Named = isUsableName(Context.CallerHeader);
  Context.Caller = Named ? Context.CallerHeader : Context.Peer;
  return std::nullopt;
}

} // namespace camphornotch
