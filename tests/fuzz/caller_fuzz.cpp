/// @file
/// Fuzzes the parsing of callers' requests. The first byte chooses the path.

#include "core/filters/caller_request_func.h"

#include <array>
#include <cstdint>
#include <cstdlib>

using namespace camphornotch;

/// @param Data hostile bytes.
/// @param Size how many.
/// @return 0.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  constexpr std::array Paths = {"/v1/completions", "/v1/chat/completions",
                                "/v1/steps", "/v1/samples", "/v1/weights"};
  if (Size == 0)
    return 0;
  const std::string_view Rest(reinterpret_cast<const char *>(Data) + 1,
                              Size - 1);
  const auto Parsed = parseCallerRequest(
      RequestParts{"POST", Paths[Data[0] % Paths.size()], "", Rest});
  if (!Parsed && Parsed.error().Message.empty())
    std::abort();
  (void)parseCallerRequest(RequestParts{"GET", "/admin/explain", Rest, ""});
  (void)parseCallerRequest(
      RequestParts{"GET", std::string("/services/").append(Rest), "", ""});
  return 0;
}
