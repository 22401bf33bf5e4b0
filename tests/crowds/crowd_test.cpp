/// @file
/// A real gateway before crowds of connections of one kind each. The bounds are
/// the memory and the descriptors that its settings allow it.

#include "crowd_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// Connections of a crowd.
constexpr int CrowdSize = 16;
/// A body six times over the default limit of the tests.
constexpr size_t OverLimitBytes = 6 * MiB;

/// Runs a crowd that sends the same head and pattern on each connection.
void runCrowd(CrowdLimits Limits, const CrowdScript &Script) {
  CrowdFixture Fix(Limits);
  Fix.run(CrowdSize, Script);
  Fix.checkLimits();
}

/// @return a body of a declared length, of which less is sent.
CrowdScript declaredBody(size_t Declared, size_t Sent) {
  return CrowdScript{.Head = CrowdFixture::postHead("content-length: " +
                                                    std::to_string(Declared)),
                     .Pattern = std::string(256 * KiB, 'x'),
                     .PatternBytes = Sent};
}

/// @return a chunked body without its end.
CrowdScript chunkedBody(size_t ChunkBytes, size_t Sent) {
  const std::string Chunk = CrowdFixture::chunk(ChunkBytes);
  std::string Pattern;
  while (Pattern.size() < 64 * KiB)
    Pattern += Chunk;
  return CrowdScript{.Head =
                         CrowdFixture::postHead("transfer-encoding: chunked"),
                     .Pattern = Pattern,
                     .PatternBytes = Sent};
}

} // namespace

// Guards against bodies over the limit that are held until they are complete.
Test(crowd, bodiesOverTheLimitWithDeclaredLength_staysWithinBudget) {
  runCrowd({}, declaredBody(OverLimitBytes, OverLimitBytes - 1));
}

// Guards against chunked bodies that are held far over the limit.
Test(crowd, bodiesOverTheLimitWithoutLength_staysWithinBudget) {
  runCrowd({}, chunkedBody(64 * KiB, OverLimitBytes));
}

// Guards against a cost in memory for each chunk, however small: the bodies are
// within the limit, their framing is five times as long.
Test(crowd, chunksOfOneByte_staysWithinBudget) {
  runCrowd({}, chunkedBody(1, 5 * MiB));
}

// Guards against allowed bodies that together are over the budget and stop just
// short of their end.
Test(crowd, chunkedBodiesStopShort_staysWithinBudget) {
  runCrowd({.BodyBytes = 5 * MiB}, chunkedBody(64 * KiB, 5 * MiB - 64 * KiB));
}

Test(crowd, declaredBodiesStopShort_staysWithinBudget) {
  runCrowd({.BodyBytes = 5 * MiB}, declaredBody(5 * MiB, 5 * MiB - 1));
}

// Guards against a few connections with large bodies that fill the smallest
// host.
Test(crowd, largeBodiesStopShortOnSmallestHost_staysWithinBudget) {
  const CrowdLimits Limits{.MemoryMb = 120, .BodyBytes = 32 * MiB};
  runCrowd(Limits, declaredBody(24 * MiB, 24 * MiB - 1));
  runCrowd(Limits, chunkedBody(64 * KiB, 24 * MiB));
}

// Guards against connections to the port for other gateways that fill the
// memory: anyone who reaches the host can open them.
Test(crowd, bodiesStopShortOnPeersPort_staysWithinBudget) {
  CrowdFixture Fix;
  Fix.Port = Fix.Net.Gateways[0]->peers().Port;
  Fix.run(CrowdSize, declaredBody(8 * MiB, 8 * MiB - 1));
  Fix.checkLimits();
}

// Guards against connections to the port for links that announce a long message
// and send most of it, without having said who they are.
Test(crowd, messagesStopShortOnLinksPort_staysWithinBudget) {
  CrowdFixture Fix;
  Fix.Port = Fix.Net.Gateways[0]->links().Port;
  const std::string LengthOf15MiB("\x00\xf0\x00\x00", 4);
  Fix.run(CrowdSize, CrowdScript{.Head = LengthOf15MiB,
                                 .Pattern = std::string(256 * KiB, 'x'),
                                 .PatternBytes = 8 * MiB});
  Fix.checkLimits();
}

// Guards against request heads that arrive in small parts and never end.
Test(crowd, headsTrickle_staysWithinBudget) {
  CrowdScript Script;
  Script.Head = "GET /a/small HTTP/1.1\r\nhost: h\r\n";
  Script.Pattern = "x-a: b\r\n";
  Script.PatternBytes = 4 * KiB;
  Script.Step = 3;
  runCrowd({}, Script);
}

// Guards against idle connections that use up the descriptors of the host and
// keep ordinary callers out.
Test(crowd, idleConnections_leaveDescriptorsForOthers) {
  CrowdFixture Fix({.FileDescriptors = 64});
  constexpr int Idle = 128;
  Fix.run(Idle, CrowdScript{});
  Fix.checkLimits();
}

// Guards against pipelined requests whose responses are not read: neither the
// requests nor the responses may pile up.
Test(crowd, pipelinedResponsesNotRead_staysWithinBudget) {
  CrowdScript Script;
  constexpr int Pipelined = 64;
  for (int Count = 0; Count < Pipelined; ++Count)
    Script.Head += CrowdFixture::getText("/a/big");
  Script.ReceiveBuffer = 4 * KiB;
  runCrowd({}, Script);
}

// Guards against streams that are held whole for clients that read slowly.
Test(crowd, streamsReadByteByByte_staysWithinBudget) {
  CrowdScript Script;
  Script.Head = CrowdFixture::getText("/s/long");
  Script.ReadStep = 1;
  Script.ReceiveBuffer = 4 * KiB;
  runCrowd({}, Script);
}

// Guards against limits that keep out an allowed request of 32 MiB on the
// smallest host, and against a body that is held several times.
Test(crowd, oneLargestBodyOnSmallestHost_isServedWithinBudget) {
  constexpr size_t LargestBody = 32 * MiB;
  for (const bool Chunked : {false, true}) {
    CrowdFixture Fix({.MemoryMb = 120, .BodyBytes = LargestBody});
    CrowdScript Script = declaredBody(LargestBody, LargestBody);
    if (Chunked) {
      Script = chunkedBody(MiB, 0);
      for (int Count = 0; Count < 32; ++Count)
        Script.Head += CrowdFixture::chunk(MiB);
      Script.Head += "0\r\n\r\n";
    }
    Fix.run(1, Script);
    cr_expect_eq(Fix.EngineBodyBytes, LargestBody);
    Fix.checkLimits();
  }
}
