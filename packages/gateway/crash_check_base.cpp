/// @file
/// Finds out whether an endpoint that broke off an answer has crashed.

#include "gateway/crash_check_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "net/connect_check_func.h"

#include <string_view>
#include <utility>

namespace camphornotch {

namespace {

/// Pause before the connection: a process that ends may close its connections
/// before its listening socket.
constexpr Millis ConnectPause{50};
constexpr Millis ConnectTimeout{300};
/// How long a check goes on: an endpoint registers its next lifetime some
/// seconds after a crash.
constexpr Millis CheckTime{10'000};
/// Limit of the requests that wait for the verdict on one endpoint.
constexpr size_t MaxWaiting = 256;

void logVerdict(const EndpointLifetime &Endpoint, std::string_view Verdict) {
  logLine(LogLevel::Info, "endpoint that broke off an answer checked",
          {{"endpoint", Endpoint.Id.Value},
           {"started_at_ms", concat(Endpoint.StartedAtMs)},
           {"verdict", Verdict}});
}

} // namespace

void CrashCheck::begin(const EndpointLifetime &Endpoint, Callback OnCrashed) {
  this->expire();
  if (!this->isCurrent(Endpoint)) {
    OnCrashed();
    return;
  }
  Check &Current = this->Checks[Endpoint];
  Current.Until = steadyNow() + CheckTime;
  if (Current.Waiting.size() < MaxWaiting)
    Current.Waiting.push_back(std::move(OnCrashed));
  if (Current.Connecting)
    return;
  Current.Connecting = true;
  this->Events.callAfter(ConnectPause,
                         [this, Endpoint] { this->connect(Endpoint); });
}

bool CrashCheck::isCurrent(const EndpointLifetime &Endpoint) const {
  const EndpointState *State = this->Pool.find(Endpoint.Id);
  return State != nullptr && State->Record.StartedAtMs == Endpoint.StartedAtMs;
}

void CrashCheck::connect(const EndpointLifetime &Endpoint) {
  if (!this->isCurrent(Endpoint)) {
    this->crashed(Endpoint);
    return;
  }
  const Address &Listens = this->Pool.find(Endpoint.Id)->Record.ListenAddress;
  checkConnect(this->Events, HttpTarget{Listens.Ip, Listens.Port},
               ConnectTimeout, [this, Endpoint](bool Accepted) {
                 const auto Found = this->Checks.find(Endpoint);
                 if (Found == this->Checks.end())
                   return;
                 if (!Accepted) {
                   logVerdict(Endpoint, "accepts no connection");
                   this->crashed(Endpoint);
                   return;
                 }
                 Found->second.Connecting = false;
                 logVerdict(Endpoint, "accepts connections");
               });
}

void CrashCheck::poolChanged() {
  this->expire();
  std::vector<EndpointLifetime> Ended;
  for (const auto &[Endpoint, Check] : this->Checks)
    if (!this->isCurrent(Endpoint))
      Ended.push_back(Endpoint);
  for (const EndpointLifetime &Endpoint : Ended) {
    logVerdict(Endpoint, "its lifetime ended");
    this->crashed(Endpoint);
  }
}

void CrashCheck::crashed(const EndpointLifetime &Endpoint) {
  const auto Node = this->Checks.extract(Endpoint);
  if (Node.empty())
    return;
  for (const Callback &Each : Node.mapped().Waiting)
    Each();
}

void CrashCheck::expire() {
  const Millis Now = steadyNow();
  std::erase_if(this->Checks, [Now](const auto &Each) {
    return !Each.second.Connecting && Now >= Each.second.Until;
  });
}

} // namespace camphornotch
