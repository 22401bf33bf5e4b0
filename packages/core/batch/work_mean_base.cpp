/// @file
/// Running mean of the work of finished items.

#include "core/batch/work_mean_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Work assumed before any item of a route finished: the means of the routes
/// lie between 8 and 20 events.
constexpr double AssumedWork = 14.0;
/// The mean follows about this many of the last items.
constexpr int MaxCount = 200;

} // namespace

void WorkMean::add(const std::string &RouteName, double Work) {
  Mean &Known = this->ByRoute[RouteName];
  Known.Count = std::min(Known.Count + 1, MaxCount);
  Known.Value += (Work - Known.Value) / Known.Count;
}

double WorkMean::expected(const std::string &RouteName) const {
  const auto Found = this->ByRoute.find(RouteName);
  return Found == this->ByRoute.end() ? AssumedWork
                                      : std::max(Found->second.Value, 1.0);
}

} // namespace camphornotch
