/// @file
/// Tests of the encoding and framing of messages.

#include "wire/codec_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// @return a heartbeat with a recognisable sequence.
wire::PeerMessage heartbeatMessage() {
  wire::Heartbeat Beat;
  Beat.Sequence = 42;
  wire::PeerMessage Message;
  Message.__set_HeartbeatMsg(Beat);
  return Message;
}

} // namespace

Test(codec, message_round_trip_is_equal) {
  const auto Decoded = decodeMessage(encodeMessage(heartbeatMessage()));
  cr_assert(Decoded.has_value());
  cr_assert(Decoded.value().__isset.HeartbeatMsg);
  cr_assert(Decoded.value().HeartbeatMsg.Sequence == 42);
}

Test(codec, every_truncation_gives_error_or_prefix) {
  const std::string Whole = encodeMessage(heartbeatMessage());
  for (size_t Length = 0; Length < Whole.size(); ++Length)
    cr_assert(!decodeMessage(Whole.substr(0, Length)).has_value());
}

Test(frame, partial_bytes_need_more) {
  const std::string Frame = encodeFrame(heartbeatMessage());
  const auto Part =
      takeFrame(std::string_view(Frame).substr(0, Frame.size() - 1));
  cr_assert(Part.has_value());
  cr_assert(!Part.value().has_value());
}

Test(frame, oversized_length_is_refused) {
  const auto Bad = takeFrame(std::string_view("\xff\xff\xff\xff", 4));
  cr_assert(Bad.has_error());
  cr_assert(Bad.error().Kind == ErrorKind::TooLarge);
}
