/// @file
/// Parses the request into a typed one.

#include "core/filters/caller_request_func.h"
#include "core/filters/filter_chain_base.h"

#include "base/hash_func.h"

#include <charconv>

namespace camphornotch {

namespace {

/// Upper bound of the deadline header.
constexpr Millis MaxDeadline = seconds(3600);

/// @param Fallback the deadline for a missing or invalid header.
Millis parseDeadline(std::string_view Text, Millis Fallback) {
  int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Count);
  const bool IsValid = !Text.empty() && Parsed.ec == std::errc() &&
                       Parsed.ptr == End && Count > 0;
  return IsValid ? std::min(Millis{Count}, MaxDeadline) : Fallback;
}

} // namespace

std::optional<Refusal>
ParseFilter::apply(RequestContext &Context,
                   const FilterEnvironment &Environment) {
  auto Parsed = parseCallerRequest(
      RequestParts{Context.Method, Context.Path, Context.Query, Context.Body});
  if (!Parsed) {
    const Error &Fault = Parsed.error();
    const bool Unknown = Fault.Kind == ErrorKind::NotFound;
    return notRun(Unknown ? RefusalReason::UnknownPath
                          : RefusalReason::BadRequest,
                  Fault.Message);
  }
  Context.Request = std::move(Parsed.value());
  Context.Deadline =
      parseDeadline(Context.DeadlineHeader, Environment.DefaultDeadline);
  uint64_t Digest = hashBytes(Context.Method);
  for (const std::string_view Part :
       {Context.Path, Context.Query, Context.Body})
    Digest = hashBytes(Part, Digest);
  Context.Digest = static_cast<int64_t>(Digest);
  return std::nullopt;
}

} // namespace camphornotch
