/// @file
/// Decides which connections and requests of clients fit into the memory and
/// the descriptors of the process.

#include "core/limits/limit_controller_base.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace camphornotch {

namespace {

/// Cost of an open connection: the buffers of the HTTP library, the header
/// tables of a request, and the entries about it.
constexpr int64_t ConnectionBytes = 16 << 10;
/// Times without progress that differ by less count as equal, so that the
/// largest of several requests sent at the same time is ended first.
constexpr int64_t ProgressStepMs = 500;

constexpr size_t indexOf(ClientPort Port) { return static_cast<size_t>(Port); }

/// @return how long there was no progress, in steps.
int64_t stepsSince(Millis Progress, Millis Now) {
  return (Now - Progress).Count / ProgressStepMs;
}

} // namespace

LimitController::Connection *LimitController::find(ConnectionId Id) {
  const auto Found = this->Known.find(Id);
  return Found == this->Known.end() ? nullptr : &Found->second;
}

void LimitController::classify(Connection &Of) {
  const bool IsReceiving =
      Of.Input > 0 && (Of.OpenRequests == 0 || Of.IsMultiplexed);
  IdList *Next = &this->Serving;
  if (IsReceiving)
    Next = &this->Receiving;
  else if (Of.OpenRequests == 0)
    Next = &this->Clients[Of.From].Idle;
  if (Next == Of.State)
    return;
  Next->splice(Next->end(), *Of.State, Of.Place);
  Of.State = Next;
}

void LimitController::setInput(Connection &Of, int64_t Bytes) {
  this->hold(Bytes - Of.Input);
  Of.Input = Bytes;
}

std::optional<ConnectionId> LimitController::idleVictim(ClientPort Port) const {
  const Client *Largest = nullptr;
  for (auto Each = this->Clients.lower_bound({Port, 0});
       Each != this->Clients.end() && Each->first.first == Port; ++Each)
    if (!Each->second.Idle.empty() &&
        (Largest == nullptr || Each->second.Open > Largest->Open))
      Largest = &Each->second;
  if (Largest == nullptr)
    return std::nullopt;
  return Largest->Idle.front();
}

LimitController::OpenDecision LimitController::open(ConnectionId Id,
                                                    ClientPort Port,
                                                    uint32_t Address,
                                                    Millis Now) {
  const int64_t PerAddress = this->Rules.PerAddress[indexOf(Port)];
  const int64_t InAll = this->Rules.Connections[indexOf(Port)];
  const ClientKey Key{Port, Address};
  const auto Known = this->Clients.find(Key);
  OpenDecision Decision;
  std::optional<ConnectionId> Victim;
  if (PerAddress > 0 && Known != this->Clients.end() &&
      Known->second.Open >= PerAddress) {
    Decision.IsAdmitted = !Known->second.Idle.empty();
    if (Decision.IsAdmitted)
      Victim = Known->second.Idle.front();
  } else if (InAll > 0 && this->Open[indexOf(Port)] >= InAll) {
    Victim = this->idleVictim(Port);
    Decision.IsAdmitted = Victim.has_value();
  }
  if (Victim.has_value())
    Decision.End = EndConnection{*Victim, LimitReason::Idle};
  if (!Decision.IsAdmitted) {
    this->count(LimitReason::TooManyConnections);
    return Decision;
  }
  Connection &Made = this->Known[Id];
  Made.From = Key;
  Made.InputAt = Now;
  ++this->Open[indexOf(Port)];
  Client &From = this->Clients[Key];
  ++From.Open;
  this->hold(ConnectionBytes);
  Made.State = &From.Idle;
  Made.Place = From.Idle.insert(From.Idle.end(), Id);
  return Decision;
}

void LimitController::close(ConnectionId Id) {
  Connection *Closed = this->find(Id);
  if (Closed == nullptr)
    return;
  this->hold(-(Closed->Input + Closed->Unread + ConnectionBytes));
  --this->Open[indexOf(Closed->From.first)];
  Client &From = this->Clients[Closed->From];
  Closed->State->erase(Closed->Place);
  if (--From.Open == 0)
    this->Clients.erase(Closed->From);
  this->Known.erase(Id);
}

void LimitController::input(ConnectionId Id, int64_t Bytes, bool IsProgress,
                            Millis Now) {
  Connection *Of = this->find(Id);
  if (Of == nullptr)
    return;
  if (Of->Input == 0)
    Of->Since = Now;
  if (IsProgress)
    Of->InputAt = Now;
  this->setInput(*Of, Bytes);
  this->classify(*Of);
}

void LimitController::requestBegan(ConnectionId Id) {
  Connection *Of = this->find(Id);
  if (Of == nullptr)
    return;
  ++Of->OpenRequests;
  this->classify(*Of);
}

void LimitController::requestEnded(ConnectionId Id, int64_t InputBytes,
                                   Millis Now) {
  Connection *Of = this->find(Id);
  if (Of == nullptr)
    return;
  assert(Of->OpenRequests > 0);
  --Of->OpenRequests;
  // What follows begins to arrive for the limit's purposes now: it could not be
  // handled before.
  Of->Since = Now;
  Of->InputAt = Now;
  this->setInput(*Of, InputBytes);
  this->classify(*Of);
}

void LimitController::multiplexes(ConnectionId Id) {
  Connection *Of = this->find(Id);
  if (Of == nullptr)
    return;
  Of->IsMultiplexed = true;
  this->classify(*Of);
}

void LimitController::unread(ConnectionId Id, int64_t Added, bool IsProgress,
                             Millis Now) {
  Connection *Of = this->find(Id);
  if (Of == nullptr)
    return;
  if (IsProgress || Of->Unread == 0)
    Of->ReadAt = Now;
  this->hold(Added);
  Of->Unread += Added;
  assert(Of->Unread >= 0);
}

std::optional<EndConnection> LimitController::nextToEnd(int64_t Needed,
                                                        Millis Now) const {
  if (this->fits(Needed))
    return std::nullopt;
  const auto Worst = [this](const IdList &Among, const auto &RankOf) {
    std::optional<ConnectionId> Chosen;
    std::tuple<int64_t, int64_t> Highest;
    for (const ConnectionId Id : Among) {
      const std::tuple<int64_t, int64_t> Rank = RankOf(this->Known.at(Id));
      if (Chosen.has_value() && Rank <= Highest)
        continue;
      Chosen = Id;
      Highest = Rank;
    }
    return Chosen;
  };
  const auto Incomplete = Worst(this->Receiving, [Now](const Connection &Of) {
    return std::tuple(stepsSince(Of.InputAt, Now), Of.Input);
  });
  if (Incomplete.has_value())
    return EndConnection{*Incomplete, LimitReason::Incomplete};
  const auto Unread = Worst(this->Serving, [Now](const Connection &Of) {
    const int64_t Steps = Of.Unread > 0 ? stepsSince(Of.ReadAt, Now) : -1;
    return std::tuple(Steps, Of.Unread);
  });
  if (!Unread.has_value())
    return std::nullopt;
  const Connection &Of = this->Known.at(*Unread);
  if (Of.Unread == 0 || Now - Of.ReadAt < this->Rules.UnreadGrace)
    return std::nullopt;
  return EndConnection{*Unread, LimitReason::Unread};
}

std::vector<ConnectionId> LimitController::slow(Millis Now) const {
  std::vector<ConnectionId> Slow;
  if (this->Rules.MinRequestRate == 0)
    return Slow;
  constexpr int64_t MillisPerSecond = 1000;
  for (const ConnectionId Id : this->Receiving) {
    const Connection &Of = this->Known.at(Id);
    const Millis Counted = Now - Of.Since - this->Rules.RateGrace;
    if (Of.OpenRequests == 0 && Counted > Millis{0} &&
        Of.Input < Counted.Count * this->Rules.MinRequestRate / MillisPerSecond)
      Slow.push_back(Id);
  }
  return Slow;
}

} // namespace camphornotch
