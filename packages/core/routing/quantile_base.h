/// @file
/// A running estimate of one quantile of a stream of values.

#ifndef CAMPHORNOTCH_CORE_ROUTING_QUANTILE_BASE_H
#define CAMPHORNOTCH_CORE_ROUTING_QUANTILE_BASE_H

#include <algorithm>

namespace camphornotch {

/// Follows a quantile by steps in proportion to the estimate, in constant
/// memory; old values fade.
class QuantileEstimate {
public:
  /// @param Share which quantile, between 0 and 1.
  explicit QuantileEstimate(double Share) : Share(Share) {}

  /// Takes one value into account.
  /// @param Value the value, not negative.
  void add(double Value) {
    if (this->Estimate <= 0) {
      this->Estimate = Value;
      return;
    }
    const double Step = this->Estimate * StepShare;
    if (Value > this->Estimate)
      this->Estimate += Step * this->Share;
    else
      this->Estimate -= Step * (1 - this->Share);
    this->Estimate = std::max(this->Estimate, Smallest);
  }

  /// @return the estimate; 0 before the first value.
  double value() const { return this->Estimate; }

private:
  /// Step as a share of the estimate.
  static constexpr double StepShare = 0.05;
  /// The estimate stays above this.
  static constexpr double Smallest = 0.01;
  /// Which quantile.
  double Share;
  /// The estimate.
  double Estimate = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_QUANTILE_BASE_H
