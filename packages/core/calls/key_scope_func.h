/// @file
/// Idempotency keys with the scope in which they are unique.

#ifndef CAMPHORNOTCH_CORE_CALLS_KEY_SCOPE_FUNC_H
#define CAMPHORNOTCH_CORE_CALLS_KEY_SCOPE_FUNC_H

#include <string>
#include <string_view>

namespace camphornotch {

/// @param Service the service.
/// @param Caller the caller's name; may be empty.
/// @param Key the caller's key, which is without line ends.
/// @return the key under which the call is recorded.
std::string scopeKey(std::string_view Service, std::string_view Caller,
                     std::string_view Key);

/// @param Scoped a key made by scopeKey().
/// @return the caller's own key, as the service gets it.
std::string_view callersKey(std::string_view Scoped);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CALLS_KEY_SCOPE_FUNC_H
