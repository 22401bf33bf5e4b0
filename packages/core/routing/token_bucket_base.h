/// @file
/// A budget that refills with time or with events, up to a limit.

#ifndef CAMPHORNOTCH_CORE_ROUTING_TOKEN_BUCKET_BASE_H
#define CAMPHORNOTCH_CORE_ROUTING_TOKEN_BUCKET_BASE_H

#include "base/millis_type.h"

#include <algorithm>

namespace camphornotch {

/// A token bucket on a caller-supplied clock.
class TokenBucket {
public:
  /// @param PerSecond how many tokens time brings in each second.
  /// @param Limit the most it holds; it starts full.
  TokenBucket(double PerSecond, double Limit)
      : PerSecond(PerSecond), Limit(Limit), Level(Limit) {}

  /// Changes the size; what is held stays, up to the new limit.
  /// @param NewPerSecond how many tokens time brings in each second.
  /// @param NewLimit the most it holds.
  void resize(double NewPerSecond, double NewLimit) {
    this->PerSecond = NewPerSecond;
    this->Limit = NewLimit;
    this->Level = std::min(this->Level, NewLimit);
  }

  /// Adds tokens that an event has earned.
  /// @param Amount how many.
  void deposit(double Amount) {
    this->Level = std::min(this->Limit, this->Level + Amount);
  }

  /// Takes tokens if they are there.
  /// @param Amount how many.
  /// @param Now the time.
  /// @return whether they were taken.
  bool take(double Amount, Millis Now) {
    this->refill(Now);
    if (this->Level < Amount)
      return false;
    this->Level -= Amount;
    return true;
  }

  /// @param Amount how many tokens are wanted.
  /// @param Now the time.
  /// @return whether take() would succeed.
  bool holds(double Amount, Millis Now) {
    this->refill(Now);
    return this->Level >= Amount;
  }

private:
  /// Adds what time has brought since the last call.
  /// @param Now the time.
  void refill(Millis Now) {
    const Millis Span = Now - this->RefilledAt;
    this->RefilledAt = Now;
    if (Span.Count > 0)
      this->deposit(this->PerSecond * static_cast<double>(Span.Count) / 1000);
  }

  /// Tokens a second.
  double PerSecond;
  /// Most tokens held.
  double Limit;
  /// Tokens held.
  double Level;
  /// When time's tokens were last added.
  Millis RefilledAt;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_TOKEN_BUCKET_BASE_H
