/// @file
/// Measures the peak memory of a gateway for the table in
/// docs/design/memory-limits.md. Runs only with CAMPHORNOTCH_MEMORY_TABLE set.

#include "crowd_fixture.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace camphornotch;

namespace {

/// @return the peak memory in MB of a gateway that gets bodies of one size
///   which stop a byte short of their end.
size_t peakMb(int MemoryMb, int Count, size_t BodyBytes) {
  CrowdFixture Fix(
      {.MemoryMb = MemoryMb, .FileDescriptors = 512, .BodyBytes = 32 * MiB});
  const std::string Length = "content-length: " + std::to_string(BodyBytes);
  // A single one is complete and is served.
  const bool IsComplete = Count == 1;
  Fix.run(Count, CrowdScript{.Head = CrowdFixture::postHead(Length),
                             .Pattern = std::string(256 * KiB, 'x'),
                             .PatternBytes = BodyBytes - (IsComplete ? 0 : 1)});
  if (IsComplete)
    cr_expect_eq(Fix.EngineBodyBytes, BodyBytes);
  cr_expect_eq(Fix.Net.ask(0, "/a/small").Status, 200);
  return Fix.status("VmHWM") / 1'000'000;
}

} // namespace

Test(memoryTable, bodiesOfSeveralSizes, .timeout = 600) {
  if (getenv("CAMPHORNOTCH_MEMORY_TABLE") == nullptr)
    return;
  for (const int MemoryMb : {120, 160, 512})
    for (const int Count : {1, 32})
      for (const size_t Size : {1, 8, 32})
        fprintf(stderr, "| %d | %d | %zu | %zu |\n", MemoryMb, Count, Size,
                peakMb(MemoryMb, Count, Size * MiB));
}
