/// @file
/// Applies the limits on what clients make the process hold.

#include "net/client_limits_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "net/h2o_internal.h"

#include <algorithm>
#include <cstdint>
#include <malloc.h>

namespace camphornotch {

namespace {

/// Ended connections are logged together, so that a crowd does not fill the
/// log.
constexpr Millis LogInterval{1'000};
/// While something waits for bytes, whether they fit is checked this often:
/// unread responses may be ended only after a time.
constexpr Millis GrantInterval{100};

} // namespace

void returnFreedMemory() {
  // The allocator would raise its threshold to the largest block freed so far,
  // and keep blocks below it on the heap, where others hold them in place.
  constexpr int LargeBlockBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * LargeBlockBytes);
  h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
}

ClientLimits::ClientLimits(Loop &Events, const LimitRules &Rules)
    : Events(Events), Controller(Rules) {}

ConnectionId ClientLimits::open(ClientPort Port, uint32_t Address,
                                ConnectionHandlers Handlers) {
  const ConnectionId Id{++this->LastConnection};
  const LimitController::OpenDecision Decision =
      this->Controller.open(Id, Port, Address, steadyNow());
  if (Decision.End.has_value())
    this->end(*Decision.End);
  if (!Decision.IsAdmitted)
    return ConnectionId{};
  this->Handlers.emplace(Id, std::move(Handlers));
  return Id;
}

void ClientLimits::close(ConnectionId Id) {
  this->Handlers.erase(Id);
  this->Controller.close(Id);
  this->scheduleGrants();
}

void ClientLimits::resumeLater(ConnectionId Id) {
  if (this->Resuming.empty())
    this->Events.defer([this] { this->resumeAll(); });
  this->Resuming.push_back(Id);
}

void ClientLimits::resumeAll() {
  std::vector<ConnectionId> Asked;
  Asked.swap(this->Resuming);
  for (const ConnectionId Id : Asked) {
    const auto Found = this->Handlers.find(Id);
    if (Found != this->Handlers.end() && !Found->second.Resume())
      this->resumeLater(Id);
  }
}

void ClientLimits::requestEnded(ConnectionId Id, int64_t InputBytes) {
  this->Controller.requestEnded(Id, InputBytes, steadyNow());
  this->scheduleGrants();
}

void ClientLimits::input(ConnectionId Id, int64_t Bytes, bool IsProgress) {
  this->Controller.input(Id, Bytes, IsProgress, steadyNow());
  this->makeRoom(0);
}

void ClientLimits::unread(ConnectionId Id, int64_t Added, bool IsProgress) {
  this->Controller.unread(Id, Added, IsProgress, steadyNow());
  this->scheduleGrants();
}

void ClientLimits::endSlow() {
  for (const ConnectionId Id : this->Controller.slow(steadyNow()))
    this->end(EndConnection{Id, LimitReason::SlowRequest});
}

bool ClientLimits::reserve(int64_t Bytes) {
  if (!this->makeRoom(Bytes))
    return false;
  this->Controller.hold(Bytes);
  return true;
}

void ClientLimits::hold(int64_t Bytes) {
  this->Controller.hold(Bytes);
  if (Bytes < 0)
    this->scheduleGrants();
}

uint64_t ClientLimits::wait(int64_t Bytes, std::function<void()> Granted) {
  this->Waiters.push_back(Waiter{++this->LastWait, Bytes, std::move(Granted)});
  this->scheduleGrants();
  return this->LastWait;
}

void ClientLimits::stopWaiting(uint64_t Wait) {
  std::erase_if(this->Waiters,
                [Wait](const Waiter &Each) { return Each.Id == Wait; });
}

bool ClientLimits::mayHandle() {
  if (this->makeRoom(0))
    return true;
  this->Controller.count(LimitReason::NoMemory);
  return false;
}

bool ClientLimits::makeRoom(int64_t Needed) {
  while (const auto Victim = this->Controller.nextToEnd(Needed, steadyNow()))
    this->end(*Victim);
  return this->Controller.fits(Needed);
}

void ClientLimits::end(const EndConnection &Victim) {
  this->Controller.count(Victim.Reason);
  const auto Found = this->Handlers.find(Victim.Id);
  const ConnectionHandlers Handlers = Found == this->Handlers.end()
                                          ? ConnectionHandlers()
                                          : std::move(Found->second);
  // The bytes are released now; the handler's close() finds nothing left.
  this->close(Victim.Id);
  if (Handlers.End)
    Handlers.End(Victim.Reason);
  ++this->Unlogged;
  const Millis Now = steadyNow();
  if (Now < this->NextLogAt)
    return;
  this->NextLogAt = Now + LogInterval;
  logLine(LogLevel::Warn, "ended connections of clients that exceed a limit",
          {{"count", concat(this->Unlogged)},
           {"held_bytes", concat(this->Controller.held())},
           {"held_limit", concat(this->Controller.rules().HeldBytes)}});
  this->Unlogged = 0;
}

void ClientLimits::scheduleGrants() {
  if (this->Waiters.empty() || this->IsGrantScheduled)
    return;
  this->IsGrantScheduled = true;
  this->Events.defer([this] { this->grant(); });
}

void ClientLimits::grant() {
  this->IsGrantScheduled = false;
  while (!this->Waiters.empty() && this->reserve(this->Waiters.front().Bytes)) {
    const Waiter Next = std::move(this->Waiters.front());
    this->Waiters.pop_front();
    Next.Granted();
  }
  if (this->Waiters.empty() || this->IsGrantScheduled)
    return;
  this->IsGrantScheduled = true;
  this->Events.callAfter(GrantInterval, [this] { this->grant(); });
}

} // namespace camphornotch
