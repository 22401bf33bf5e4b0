/// @file
/// Running mean of the work of finished items.

#ifndef CAMPHORNOTCH_CORE_BATCH_WORK_MEAN_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_WORK_MEAN_BASE_H

#include <map>
#include <string>

namespace camphornotch {

/// Running mean of the work of finished items, by route.
class WorkMean {
public:
  /// @param Work in tokens of output; above 0.
  void add(const std::string &RouteName, double Work);

  /// @return the mean of a route, or what is assumed of a route without
  ///   finished items; above 0.
  double expected(const std::string &RouteName) const;

private:
  struct Mean {
    double Value = 0;
    int Count = 0;
  };
  /// By route. The configuration bounds their number.
  std::map<std::string, Mean> ByRoute;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_WORK_MEAN_BASE_H
