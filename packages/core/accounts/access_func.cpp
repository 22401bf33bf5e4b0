/// @file
/// Decides whether a request may proceed, by the API key that it carries.

#include "core/accounts/access_func.h"

#include "base/text_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>

namespace camphornotch {

AccessDecision decideAccess(const AccountTable *Accounts, bool IsPublic,
                            std::optional<std::string_view> Key,
                            bool IsCurrent) {
  if (Accounts == nullptr)
    return AccessDecision{KeyOutcome::Unrestricted, nullptr};
  const Account *Caller = Key.has_value() ? Accounts->findByKey(*Key) : nullptr;
  if (IsPublic)
    return AccessDecision{KeyOutcome::Public, Caller};
  if (Caller != nullptr)
    return AccessDecision{KeyOutcome::Known, Caller};
  if (!Key.has_value())
    return AccessDecision{KeyOutcome::Missing, nullptr};
  return AccessDecision{IsCurrent ? KeyOutcome::Unknown : KeyOutcome::Stale,
                        nullptr};
}

std::string accountScopedId(std::optional<std::string_view> AccountName,
                            std::string_view CallerId) {
  if (!AccountName.has_value())
    return std::string(CallerId);
  // Escaping makes the first slash the end of the account's name.
  std::string Escaped;
  for (const char Each : *AccountName)
    if (absl::ascii_isalnum(static_cast<unsigned char>(Each)) || Each == '-' ||
        Each == '_' || Each == '.')
      Escaped += Each;
    else
      absl::StrAppendFormat(&Escaped, "%%%02X",
                            static_cast<unsigned char>(Each));
  return concat(Escaped, "/", CallerId);
}

} // namespace camphornotch
