/// @file
/// Slopes of messages between processes.

#include "capacity/probes.h"
#include "wire/codec_func.h"

#include <cassert>

namespace camphornotch::bench {

namespace {

/// Sizes of runs over messages.
constexpr int MessageCounts[] = {5000, 10000, 20000, 40000};
/// Tokens in one relayed chunk, and sizes of chunks.
constexpr int ChunkTokens[] = {16, 64, 256, 1024};
/// Bytes of a token's text.
constexpr int TokenBytes = 4;

/// @param Number of the heartbeat.
/// @param WithLoad whether a figure is attached.
/// @return a heartbeat as it is after days of running.
wire::PeerMessage heartbeat(int64_t Number, bool WithLoad) {
  wire::Heartbeat Beat;
  Beat.Sequence = 1'000'000 + Number;
  Beat.EchoSequence = 1'000'000 + Number;
  Beat.ConfigOffset = 5'000'000;
  Beat.ConfigHash = 0x1234567812345678;
  if (WithLoad) {
    wire::LoadFigure Load;
    Load.Slots = 64;
    Load.Running = 60;
    Load.Queued = 12;
    Load.QueuedTokens = 40'000;
    Load.TokenMicros = 9'500;
    Load.ExpectedWaitMs = 1'200;
    Load.Version = 1'234;
    Beat.__set_Load(Load);
  }
  wire::PeerMessage Message;
  Message.__set_HeartbeatMsg(Beat);
  return Message;
}

/// Encodes and decodes messages.
/// @param Count how many.
/// @param WithLoad whether figures are attached.
void exchange(int Count, bool WithLoad) {
  for (int Number = 0; Number < Count; ++Number) {
    const std::string Frame = encodeFrame(heartbeat(Number, WithLoad));
    const auto Decoded =
        decodeMessage(std::string_view(Frame).substr(FrameHeaderBytes));
    assert(Decoded.has_value());
  }
}

/// @param Name of the slope.
/// @param WithLoad whether figures are attached.
/// @return processor time of sending and receiving one.
Slope exchangeSlope(const std::string &Name, bool WithLoad) {
  std::vector<Point> Points;
  for (const int Count : MessageCounts)
    Points.push_back({static_cast<double>(Count),
                      leastMicros([&] { exchange(Count, WithLoad); })});
  return fitSlope(Name, "us/message", Points);
}

/// @param Name of the slope.
/// @param WithLoad whether figures are attached.
/// @return bytes of one, framed.
Slope byteSlope(const std::string &Name, bool WithLoad) {
  std::vector<Point> Points;
  for (const int Count : MessageCounts) {
    double Bytes = 0;
    for (int Number = 0; Number < Count; ++Number)
      Bytes +=
          static_cast<double>(encodeFrame(heartbeat(Number, WithLoad)).size());
    Points.push_back({static_cast<double>(Count), Bytes});
  }
  return fitSlope(Name, "bytes/message", Points);
}

/// @param Tokens of each chunk.
/// @return one chunk as a message.
wire::PeerMessage chunk(int Tokens) {
  wire::WorkChunk Chunk;
  Chunk.Work = 1'000'000;
  Chunk.Offset = 4'000;
  Chunk.Data = std::string(static_cast<size_t>(Tokens) * TokenBytes, 'x');
  wire::PeerMessage Message;
  Message.__set_WorkChunkMsg(Chunk);
  return Message;
}

/// @return processor time of relaying one token in large chunks.
Slope tokenSlope() {
  constexpr int Repeats = 2000;
  std::vector<Point> Points;
  for (const int Tokens : ChunkTokens) {
    const wire::PeerMessage Message = chunk(Tokens);
    const double Micros = leastMicros([&] {
      for (int Repeat = 0; Repeat < Repeats; ++Repeat) {
        const std::string Frame = encodeFrame(Message);
        const auto Decoded =
            decodeMessage(std::string_view(Frame).substr(FrameHeaderBytes));
        assert(Decoded.has_value());
      }
    });
    Points.push_back({static_cast<double>(Tokens), Micros / Repeats});
  }
  return fitSlope("relayed_token", "us/token", Points);
}

} // namespace

std::vector<Slope> wireSlopes() {
  return {
      byteSlope("heartbeat_bytes", false),
      byteSlope("heartbeat_with_load_bytes", true),
      exchangeSlope("heartbeat_time", false),
      exchangeSlope("heartbeat_with_load_time", true),
      tokenSlope(),
  };
}

} // namespace camphornotch::bench
