/// @file
/// Fuzzes every decoder of the platform's messages: whatever comes, a value or
/// an error, within the bounds that the value's type promises.

#include "platform/caller_func.h"
#include "platform/engine_func.h"
#include "platform/operator_func.h"
#include "platform/store_codec_internal.h"

#include <cstdint>
#include <cstdlib>

using namespace camphornotch;
using namespace camphornotch::platform;

namespace {

/// @param Text what the store holds.
void decodeStored(std::string_view Text) {
  (void)decodeRouteTable(Text);
  (void)decodeNamedVersion(Text);
  const auto Endpoint = decodeEndpoint("i", Text);
  if (Endpoint.has_value() && Endpoint.value().Slots < 1)
    std::abort();
  (void)decodeKeyedRecord(Text, 0);
  (void)decodeKeyedPage(Text);
  (void)decodeGroupShare(Text);
  const auto Owners = decodeOwners(Text);
  if (Owners.has_value())
    for (const PartitionOwner &Each : Owners.value())
      if (Each.Member.empty())
        std::abort();
  const auto Page = decodeReadPage(0, Text);
  if (Page.has_value() &&
      decodeReadPage(0, std::string(16, '\0') +
                            encodeRecords(Page.value().Records))
          .has_error())
    std::abort();
}

/// @param Text what engines and callers send.
void decodeSent(std::string_view Text) {
  (void)decodeEngineReport(Text);
  (void)decodeEngineEvent(Text);
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = Text;
  Request.Query = Text;
  Request.Body = Text;
  const DecodedRequest Ask = decodeCallerRequest(Request);
  if (const auto *Read = std::get_if<ResultsRead>(&Ask))
    if (Read->FirstIndex < 0)
      std::abort();
  const auto Submission = decodeSubmission("s", Request);
  if (Submission.has_value() && Submission.value().Items.empty())
    std::abort();
}

} // namespace

/// @param Data hostile bytes.
/// @param Size how many.
/// @return 0.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  decodeStored(Bytes);
  decodeSent(Bytes);
  return 0;
}
