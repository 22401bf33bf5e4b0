/// @file
/// Fuzzes the frame decoder: whatever comes, an error or messages that encode
/// to something that decodes again.

#include "wire/codec_func.h"

#include <cstdint>
#include <cstdlib>

using namespace camphornotch;

/// @param Data hostile bytes.
/// @param Size how many.
/// @return 0.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  while (true) {
    const auto Frame = takeFrame(Bytes);
    if (!Frame || !Frame.value())
      return 0;
    const auto Message = decodeMessage(*Frame.value());
    if (Message && !decodeMessage(encodeMessage(Message.value())))
      std::abort();
    Bytes.remove_prefix(FrameHeaderBytes + Frame.value()->size());
  }
}
