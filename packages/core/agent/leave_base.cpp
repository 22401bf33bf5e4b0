/// @file
/// Takes an agent out of service.

#include "core/agent/leave_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// @param Cause who asked.
/// @return its bit.
uint32_t bitOf(LeaveCause Cause) { return 1U << static_cast<uint32_t>(Cause); }

} // namespace

std::vector<LeaveAction> LeaveController::handle(const LeaveEvent &Event,
                                                 Millis Now) {
  Actions Out;
  std::visit([&](const auto &Each) { this->on(Each, Now, Out); }, Event);
  this->advance(Now, Out);
  return Out;
}

Millis LeaveController::nextDeadline() const {
  if (!this->leaving() || this->Ended)
    return Never;
  if (!this->Moved)
    return this->MoveAt;
  return this->ends() && this->Holdings.Running == 0 ? this->EndAt : Never;
}

bool LeaveController::ends() const {
  return (this->Causes &
          (bitOf(LeaveCause::Signal) | bitOf(LeaveCause::Superseded))) != 0;
}

void LeaveController::on(const LeaveAsked &Event, Millis Now, Actions &Out) {
  const bool Before = this->leaving();
  this->Causes |= bitOf(Event.Cause);
  if (Before)
    return;
  this->MoveAt = Now + this->Settings.KeepWork;
  this->EndAt = Never;
  this->Moved = false;
  Out.emplace_back(StopAdmission{});
}

void LeaveController::on(const LeaveWithdrawn &Event, Millis /*Now*/,
                         Actions &Out) {
  const bool Before = this->leaving();
  if (Event.Cause != LeaveCause::Signal)
    this->Causes &= ~bitOf(Event.Cause);
  if (Before && !this->leaving())
    Out.emplace_back(ResumeAdmission{});
}

void LeaveController::on(const HoldingsChanged &Event, Millis /*Now*/,
                         Actions & /*Out*/) {
  this->Holdings = Event;
}

void LeaveController::on(const LeaveTick & /*Event*/, Millis /*Now*/,
                         Actions & /*Out*/) {}

void LeaveController::advance(Millis Now, Actions &Out) {
  if (!this->leaving() || this->Ended)
    return;
  if (!this->Moved && (Now >= this->MoveAt || this->Holdings.Running == 0)) {
    this->Moved = true;
    if (this->Holdings.Running > 0)
      Out.emplace_back(MoveRuns{});
  }
  if (!this->ends() || this->Holdings.Running > 0)
    return;
  this->EndAt = std::min(this->EndAt, Now + this->Settings.KeepAnswers);
  if (this->Holdings.Unacknowledged > 0 && Now < this->EndAt)
    return;
  this->Ended = true;
  Out.emplace_back(ExitProcess{});
}

} // namespace camphornotch
