/// @file
/// A real gateway before a changing crowd of connections of all kinds.

#include "crowd_fixture.h"

#include <criterion/criterion.h>

#include <csignal>
#include <random>

using namespace camphornotch;

namespace {

std::vector<CrowdScript> allKinds() {
  const std::string Filling(64 * KiB, 'x');
  const auto Post = [](const char *Framing) {
    return CrowdFixture::postHead(Framing);
  };
  std::string Pipelined;
  for (int Pair = 0; Pair < 10; ++Pair)
    Pipelined +=
        CrowdFixture::getText("/a/small") + CrowdFixture::getText("/a/big");
  return {
      {},
      {.Head = Post("content-length: 4000000"),
       .Pattern = Filling,
       .PatternBytes = 3'999'999},
      {.Head = Post("content-length: 4000000"),
       .Pattern = Filling,
       .PatternBytes = 4'000'000,
       .ReadStep = 100},
      {.Head = Post("transfer-encoding: chunked"),
       .Pattern = CrowdFixture::chunk(7),
       .PatternBytes = 600'000},
      {.Head = Post("transfer-encoding: chunked"),
       .Pattern = CrowdFixture::chunk(64 * KiB),
       .PatternBytes = 9'000'000},
      {.Head = Post("content-length: 4000000\r\nexpect: 100-continue"),
       .Pattern = Filling,
       .PatternBytes = 2'000'000,
       .ReadStep = 1000},
      {.Head = Pipelined, .ReceiveBuffer = 4 * KiB},
      {.Head = Pipelined, .ReadStep = 200'000},
      {.Head = CrowdFixture::getText("/s/long"), .ReadStep = 1},
      // HTTP/2: the preface and empty settings.
      {.Head = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
               std::string("\0\0\0\4\0\0\0\0\0", 9),
       .ReadStep = 100},
  };
}

} // namespace

// Guards against a sum over kinds that exceeds the budget although each kind
// stays below it, and against connections that end while they are in use.
Test(mixedCrowd, connectionsComeAndGo_staysWithinBudget, .timeout = 120) {
  // The engine's server writes to connections that the gateway has closed.
  std::signal(SIGPIPE, SIG_IGN);
  CrowdFixture Fix(
      {.MemoryMb = 48, .FileDescriptors = 160, .BodyBytes = 4 * MiB});
  std::mt19937 Random(7);
  const std::vector<CrowdScript> Kinds = allKinds();
  constexpr int Connections = 3'000;
  constexpr size_t AtATime = 90;
  for (int Made = 0; Made < Connections;) {
    if (Fix.Crowd.size() < AtATime) {
      Fix.Crowd.push_back(std::make_unique<CrowdMember>(
          Fix.Port, Kinds[Random() % Kinds.size()]));
      ++Made;
    }
    for (const auto &Member : Fix.Crowd)
      Member->pump();
    if (Random() % 3 == 0)
      Fix.Crowd.erase(Fix.Crowd.begin() +
                      static_cast<int>(Random() % Fix.Crowd.size()));
    Fix.Net.Events.runOnce(Millis{0});
  }
  Fix.Crowd.clear();
  Fix.checkLimits();
}
