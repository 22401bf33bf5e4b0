/// @file
/// Estimate of the time until new work would start.

#include "core/agent/wait_func.h"

#include <algorithm>

namespace camphornotch {

int64_t tokensUntilStart(std::span<int64_t> Remaining, int64_t Ahead) {
  if (Remaining.empty())
    return INT64_MAX / 4;
  std::sort(Remaining.begin(), Remaining.end());
  int64_t Level = Remaining.front();
  int64_t Left = Ahead;
  for (size_t Places = 1; Places < Remaining.size(); ++Places) {
    const auto Filled = static_cast<int64_t>(Places);
    const int64_t Step = Remaining[Places] - Level;
    if (Left <= Step * Filled)
      return Level + Left / Filled;
    Left -= Step * Filled;
    Level = Remaining[Places];
  }
  return Level + Left / static_cast<int64_t>(Remaining.size());
}

} // namespace camphornotch
