/// @file
/// Idempotency keys with the scope in which they are unique.

#include "core/calls/key_scope_func.h"

namespace camphornotch {

namespace {

/// Stands between the parts; no header value can have it.
constexpr char Separator = '\n';

} // namespace

std::string scopeKey(std::string_view Service, std::string_view Caller,
                     std::string_view Key) {
  std::string Scoped(Service);
  Scoped += Separator;
  Scoped += Caller;
  Scoped += Separator;
  Scoped += Key;
  return Scoped;
}

std::string_view callersKey(std::string_view Scoped) {
  const size_t Last = Scoped.rfind(Separator);
  return Last == std::string_view::npos ? Scoped : Scoped.substr(Last + 1);
}

} // namespace camphornotch
