/// @file
/// Counts the requests of client accounts at a gateway and sends the counts to
/// the holder of the usage duty.

#include "gateway/usage_task_base.h"

#include "base/clock_func.h"
#include "gateway/gateway_settings_func.h"
#include "net/link_settings_func.h"

#include <array>
#include <memory>

namespace camphornotch {

namespace {

/// Least time between two pushes: what a gateway counted in it is lost if the
/// gateway ends.
constexpr Millis PushInterval{250};
/// Time from sending to arrival by NetworkDistance: half a round trip of the
/// sites' links.
constexpr std::array<Millis, 3> OneWayTime{Millis{0}, Millis{1}, Millis{12}};

} // namespace

UsageTask::UsageTask(Loop &Events, const CommonSettings &Settings, Sender Send)
    : Events(Events), Enabled(Settings.DutyService.Port != 0),
      Host(Settings.Host), Boot(randomBootId().Value), Send(std::move(Send)),
      Counter(parseUsageWindow(Settings.UsageWindowSeconds)) {}

Millis UsageTask::trueNow() const {
  return this->Clock.at(wallNow(), bootNow());
}

void UsageTask::count(const std::string &Account, ForwardCallbacks &Callbacks) {
  if (!this->Enabled || Account.empty())
    return;
  const auto Usage = std::make_shared<RequestUsage>(this->Counter, Account);
  Callbacks.OnAttemptSent = [this, Usage](uint64_t Number,
                                          NetworkDistance Distance) {
    Usage->attemptSent(Number, this->trueNow() +
                                   OneWayTime[static_cast<size_t>(Distance)]);
    this->schedulePush();
  };
  Callbacks.OnAttemptNotRun = [this, Usage](uint64_t Number) {
    Usage->attemptNotRun(Number);
    this->schedulePush();
  };
}

void UsageTask::onWallClock(const HostId &Peer, int64_t WallMs) {
  this->Clock.peerClock(Peer, WallMs, bootNow());
}

void UsageTask::onLinkDown(const HostId &Peer) {
  this->Clock.remove(Peer);
  if (Peer == this->Holder)
    this->Holder = HostId{};
}

void UsageTask::onHolder(const HostId &Peer,
                         const wire::DutyHolderPush &Announced) {
  if (!this->Enabled || Announced.FencingNumber < this->HolderFence)
    return;
  const bool IsNew = Peer != this->Holder;
  this->Holder = Peer;
  this->HolderFence = Announced.FencingNumber;
  this->SettledWindow = Announced.SettledWindow;
  // An empty push tells the holder that this gateway has counted nothing.
  if (IsNew)
    this->push();
}

void UsageTask::schedulePush() {
  if (this->PushScheduled || this->Holder.Value.empty())
    return;
  this->PushScheduled = true;
  this->Events.callAfter(PushInterval, [this] {
    this->PushScheduled = false;
    if (this->Counter.changed())
      this->push();
  });
}

void UsageTask::push() {
  if (this->Holder.Value.empty())
    return;
  this->Counter.forgetOld(this->trueNow());
  wire::UsageCountsPush Counts;
  Counts.Gateway = this->Host;
  Counts.Boot = this->Boot;
  Counts.Windows = this->Counter.windowsAfter(this->SettledWindow);
  wire::PeerMessage Message;
  Message.__set_UsageCountsMsg(Counts);
  this->Counter.markPushed();
  this->Send(this->Holder, Message);
}

} // namespace camphornotch
