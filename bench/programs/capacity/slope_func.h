/// @file
/// Measures heap and processor time and fits straight lines to them.

#ifndef CAMPHORNOTCH_BENCH_CAPACITY_SLOPE_FUNC_H
#define CAMPHORNOTCH_BENCH_CAPACITY_SLOPE_FUNC_H

#include <functional>
#include <string>
#include <vector>

namespace camphornotch::bench {

/// One measurement: a quantity and what it cost.
struct Point {
  /// How many of the quantity.
  double Size = 0;
  /// The cost, in the slope's unit.
  double Cost = 0;
};

/// A straight line through measurements.
struct Slope {
  /// What is measured.
  std::string Name;
  /// Unit of the cost of one more of the quantity.
  std::string Unit;
  /// Cost of one more.
  double PerUnit = 0;
  /// Cost at size zero.
  double Intercept = 0;
  /// Largest distance of a point from the line, as a share of the largest
  /// cost.
  double Residual = 0;
  /// The measurements.
  std::vector<Point> Points;
};

/// @param Name what is measured.
/// @param Unit the unit of the slope.
/// @param Points at least two measurements.
/// @return the least-squares line.
Slope fitSlope(std::string Name, std::string Unit, std::vector<Point> Points);

/// @return bytes that are allocated on the heap now.
double heapBytes();

/// @return microseconds of processor time of this process.
double processorMicros();

/// @param Work what to run.
/// @return microseconds of processor time that it took: the least of three
///         runs, since other processes disturb upwards only.
double leastMicros(const std::function<void()> &Work);

/// Prints a slope as a JSON line.
/// @param Line the slope.
void printSlope(const Slope &Line);

} // namespace camphornotch::bench

#endif // CAMPHORNOTCH_BENCH_CAPACITY_SLOPE_FUNC_H
