/// @file
/// Measures heap and processor time and fits straight lines to them.

#include "capacity/slope_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace camphornotch::bench {

Slope fitSlope(std::string Name, std::string Unit, std::vector<Point> Points) {
  assert(Points.size() >= 2);
  const auto Count = static_cast<double>(Points.size());
  double SumSize = 0;
  double SumCost = 0;
  for (const Point &Each : Points) {
    SumSize += Each.Size;
    SumCost += Each.Cost;
  }
  const double MeanSize = SumSize / Count;
  const double MeanCost = SumCost / Count;
  double Covariance = 0;
  double Variance = 0;
  for (const Point &Each : Points) {
    Covariance += (Each.Size - MeanSize) * (Each.Cost - MeanCost);
    Variance += (Each.Size - MeanSize) * (Each.Size - MeanSize);
  }
  Slope Line;
  Line.Name = std::move(Name);
  Line.Unit = std::move(Unit);
  Line.PerUnit = Covariance / Variance;
  Line.Intercept = MeanCost - Line.PerUnit * MeanSize;
  double Largest = 0;
  for (const Point &Each : Points) {
    const double OnLine = Line.Intercept + Line.PerUnit * Each.Size;
    Line.Residual = std::max(Line.Residual, std::abs(Each.Cost - OnLine));
    Largest = std::max(Largest, std::abs(Each.Cost));
  }
  Line.Residual = Largest > 0 ? Line.Residual / Largest : 0;
  Line.Points = std::move(Points);
  return Line;
}

double heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

double processorMicros() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

double leastMicros(const std::function<void()> &Work) {
  double Least = -1;
  for (int Run = 0; Run < 3; ++Run) {
    const double Begin = processorMicros();
    Work();
    const double Took = processorMicros() - Begin;
    Least = Least < 0 ? Took : std::min(Least, Took);
  }
  return Least;
}

void printSlope(const Slope &Line) {
  nlohmann::json Points = nlohmann::json::array();
  for (const Point &Each : Line.Points)
    Points.push_back({Each.Size, Each.Cost});
  const nlohmann::json Out{
      {"slope", Line.Name},        {"unit", Line.Unit},
      {"per_unit", Line.PerUnit},  {"intercept", Line.Intercept},
      {"residual", Line.Residual}, {"points", Points},
  };
  std::printf("%s\n", Out.dump().c_str());
}

} // namespace camphornotch::bench
