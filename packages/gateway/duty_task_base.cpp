/// @file
/// Holds the usage duty if no other process does, and reports the usage of
/// client accounts.

#include "gateway/duty_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "gateway/gateway_settings_func.h"
#include "net/link_settings_func.h"
#include "platform/duty_func.h"
#include "wire/codec_func.h"

#include <algorithm>
#include <random>
#include <utility>

namespace camphornotch {

namespace {

constexpr const char *DutyTopic = "duties";
/// Interval of the steps of a holder or candidate.
constexpr Millis StepInterval{200};
/// Interval of the check whether this process has become a candidate.
constexpr Millis IdleInterval{1'000};
/// Longest wait of a read for a record.
constexpr Millis ReadWait{1'000};
constexpr Millis AppendTimeout{900};
/// Longest time for the answer to a report.
constexpr Millis ReportTimeout{1'500};
/// A report is only begun with this much permission left.
constexpr Millis MinPermission{300};
/// Interval of the holder's announcements to gateways.
constexpr Millis AnnounceInterval{1'000};

PartitionId dutyPartition() { return PartitionId{DutyTopic, 0}; }

} // namespace

DutyTask::DutyTask(Loop &Events, HttpClient &Http, platform::StoreClient &Store,
                   const CommonSettings &Settings, Metrics &Counts,
                   DutyTaskCallbacks Callbacks, LeaseTimes Times)
    : Events(Events), Http(Http),
      Store(Store), Service{Settings.DutyService.Ip, Settings.DutyService.Port},
      Host(Settings.Host), Boot(randomBootId().Value),
      Callbacks(std::move(Callbacks)),
      Lease(UsageDuty, this->Host, this->Boot, Times),
      Reporter(parseUsageWindow(Settings.UsageWindowSeconds),
               std::random_device{}()),
      Sent(Counts.counter("usage_reports_total", "Usage reports by outcome.",
                          {{"outcome", "acknowledged"}})),
      Late(Counts.counter("usage_reports_total", "Usage reports by outcome.",
                          {{"outcome", "late"}})),
      Failed(Counts.counter("usage_reports_total", "Usage reports by outcome.",
                            {{"outcome", "failed"}})),
      Holder(Counts.gauge("duty_holder",
                          "Whether this process holds the usage duty.")) {}

void DutyTask::begin() {
  if (this->enabled())
    this->tick();
}

Millis DutyTask::trueNow() const {
  return this->Clock.at(wallNow(), bootNow());
}

int64_t DutyTask::fence() const {
  const DutyClaim *Claim = this->Fold.claim(UsageDuty);
  return Claim == nullptr ? 0 : Claim->FencingNumber;
}

void DutyTask::onWallClock(const HostId &Peer, int64_t WallMs) {
  this->Clock.peerClock(Peer, WallMs, bootNow());
}

void DutyTask::onLinkDown(const HostId &Peer) { this->Clock.remove(Peer); }

void DutyTask::onCounts(const wire::UsageCountsPush &Push) {
  if (this->enabled())
    this->Reporter.countsReceived(Push, bootNow());
}

void DutyTask::tick() {
  const bool Follows = !this->Stopping && (this->Lease.holds(this->Fold) ||
                                           this->Callbacks.IsCandidate());
  this->Events.callAfter(Follows ? StepInterval : IdleInterval,
                         [this] { this->tick(); });
  if (!Follows)
    return;
  this->read();
  this->act();
}

void DutyTask::read() {
  // A read that arrives while a record is being appended may wait for the next
  // record although that one is there.
  if (this->Reading || this->Appending)
    return;
  this->Reading = true;
  const Millis SentAt = bootNow();
  platform::ReadBounds Bounds;
  Bounds.Wait = this->AtEnd ? ReadWait : Millis{0};
  this->Store.read(dutyPartition(), this->NextOffset, Bounds,
                   [this, SentAt](const StoreResult<ReadPage> &Page) {
                     this->Reading = false;
                     this->onRead(Page, SentAt);
                   });
}

void DutyTask::onRead(const StoreResult<ReadPage> &Page, Millis SentAt) {
  if (!Page.has_value()) {
    this->AtEnd = false;
    if (Page.error().Expired && Page.error().OldestOffset > this->NextOffset)
      this->NextOffset = Page.error().OldestOffset;
    return;
  }
  const Millis Now = bootNow();
  int64_t Offset = Page.value().FirstOffset;
  for (const std::string &Bytes : Page.value().Records) {
    if (Offset++ != this->NextOffset)
      continue;
    const Result<void> Applied =
        this->Fold.apply(this->NextOffset++, Bytes, Now);
    if (!Applied.has_value())
      logLine(
          LogLevel::Warn, "unreadable record of duties skipped",
          {{"offset", concat(Offset - 1)}, {"cause", Applied.error().Message}});
  }
  this->AtEnd = this->NextOffset >= Page.value().EndOffset;
  // A record may have been appended right after the read was sent.
  if (this->AtEnd)
    this->ReadAt = SentAt;
  this->Fold.forgetBefore(this->Reporter.firstKept(this->trueNow()));
  this->Lease.observe(this->Fold, Now);
  this->noteHolder();
  this->act();
  if (!this->Stopping && (!this->AtEnd || this->Lease.holds(this->Fold) ||
                          this->Callbacks.IsCandidate()))
    this->read();
}

void DutyTask::noteHolder() {
  const bool Holds = this->Lease.holds(this->Fold);
  const int64_t Fence = Holds ? this->fence() : 0;
  if (Fence == this->NotedFence)
    return;
  this->NotedFence = Fence;
  this->Holder.Set(Holds ? 1 : 0);
  logLine(LogLevel::Info, Holds ? "duty taken" : "duty lost",
          {{"duty", UsageDuty}, {"fence", concat(this->fence())}});
  if (!Holds)
    return;
  this->Reporter.becameHolder(this->trueNow());
  this->announce();
}

void DutyTask::announce() {
  this->AnnouncedAt = bootNow();
  wire::DutyHolderPush Push;
  Push.Duty = std::string(UsageDuty);
  Push.Holder = this->Host;
  Push.FencingNumber = this->fence();
  Push.SettledWindow = this->Fold.newestSettled();
  wire::PeerMessage Message;
  Message.__set_DutyHolderMsg(Push);
  this->Callbacks.Broadcast(Message);
}

void DutyTask::act() {
  if (this->Stopping || !this->AtEnd)
    return;
  const Millis Now = bootNow();
  const bool Holds = this->Lease.holds(this->Fold);
  if (Holds && Now - this->AnnouncedAt >= AnnounceInterval)
    this->announce();
  const Millis Permission = this->Lease.permissionLeft(this->Fold, Now);
  if (Permission >= MinPermission)
    this->report(Permission);
  // A settled window renews the lease, too.
  if (this->Appending)
    return;
  const LeaseStep Step = this->Lease.next(
      this->Fold, this->Callbacks.IsCandidate(), this->ReadAt, Now);
  wire::DutyRecord Record;
  if (Step == LeaseStep::Claim) {
    wire::DutyClaimRecord Claim;
    Claim.Duty = std::string(UsageDuty);
    Claim.Holder = this->Host;
    Claim.Boot = this->Boot;
    Record.__set_Claim(Claim);
    this->append(Record, "claim");
  } else if (Step == LeaseStep::Renew) {
    wire::DutyRenewalRecord Renewal;
    Renewal.Duty = std::string(UsageDuty);
    Renewal.FencingNumber = this->fence();
    Record.__set_Renewal(Renewal);
    this->append(Record, "renewal");
  }
}

void DutyTask::report(Millis Permission) {
  const Millis Now = bootNow();
  const Millis TrueNow = this->trueNow();
  this->Reporter.forgetOld(TrueNow, Now);
  const std::vector<HostId> Linked = this->Callbacks.Linked();
  const UsageStep Step = this->Reporter.next(
      this->Fold, std::set<HostId>(Linked.begin(), Linked.end()), TrueNow, Now);
  if (const auto *Settle = std::get_if<SettleWindow>(&Step))
    this->settle(*Settle);
  else if (const auto *Report = std::get_if<ReportWindow>(&Step))
    this->send(*Report, Permission);
}

void DutyTask::append(const wire::DutyRecord &Record, std::string_view What) {
  this->Appending = true;
  const std::string Bytes = encodeDuty(Record);
  const Millis SentAt = bootNow();
  this->Store.appendAt(
      dutyPartition(), this->NextOffset, std::span(&Bytes, 1), AppendTimeout,
      [this, SentAt, What](const StoreResult<int64_t> &Offset) {
        this->Appending = false;
        // Until the record itself is read, nothing more is appended. A waiting
        // read may have returned it before this answer.
        this->AtEnd = this->AtEnd && Offset.has_value() &&
                      this->NextOffset > Offset.value();
        if (Offset.has_value())
          this->Lease.stored(SentAt);
        else
          logLine(LogLevel::Info, "record of duties not acknowledged",
                  {{"record", What}, {"cause", Offset.error().Cause.Message}});
        this->read();
      });
}

void DutyTask::settle(const SettleWindow &Step) {
  if (this->Appending)
    return;
  int64_t Total = 0;
  for (const auto &[Account, Count] : Step.Counts)
    Total += Count;
  logLine(LogLevel::Info, "usage window settled",
          {{"window", concat(Step.Window)},
           {"fence", concat(this->fence())},
           {"accounts", concat(Step.Counts.size())},
           {"requests", concat(Total)}});
  wire::DutyRecord Record;
  Record.__set_Settled(settledRecord(Step.Window, this->fence(), Step.Counts));
  this->append(Record, "settled window");
}

void DutyTask::send(const ReportWindow &Step, Millis Permission) {
  if (this->Reporting)
    return;
  this->Reporting = true;
  HttpCall Call = platform::usageReportCall(
      this->Service, Step.Window, Step.Counts,
      platform::DutyHolderName{this->Host, this->fence()});
  Call.Timeout = std::min(ReportTimeout, Permission - Millis{100});
  const int64_t Window = Step.Window;
  HttpCallbacks Reply;
  Reply.Finished = [this, Window](const HttpResponse &Response) {
    this->onReported(Window, Response.Status, "answered");
  };
  Reply.Failed = [this, Window](const HttpFailure &Failure) {
    this->onReported(Window, 0, Failure.Cause.Message);
  };
  this->Http.start(std::move(Call), std::move(Reply));
}

void DutyTask::onReported(int64_t Window, int Status, std::string_view Cause) {
  this->Reporting = false;
  const bool Accepted = Status >= StatusOk && Status < StatusFirstFailure;
  const bool IsLate = this->trueNow() > this->Reporter.dueAt(Window);
  logLine(Accepted ? LogLevel::Info : LogLevel::Warn, "usage reported",
          {{"window", concat(Window)},
           {"fence", concat(this->fence())},
           {"status", concat(Status)},
           {"late", IsLate ? "yes" : "no"},
           {"cause", Cause}});
  if (!Accepted) {
    this->Failed.Increment();
    this->Reporter.reportFailed(bootNow());
    return;
  }
  this->Sent.Increment();
  if (IsLate)
    this->Late.Increment();
  this->Reporter.reported(Window);
  wire::UsageReportedRecord Done;
  Done.Window = Window;
  wire::DutyRecord Record;
  Record.__set_Reported(Done);
  const std::string Bytes = encodeDuty(Record);
  // Not conditional: it only says what has happened.
  this->Store.append(dutyPartition(), std::span(&Bytes, 1), AppendTimeout,
                     [](const StoreResult<int64_t> &) {});
}

void DutyTask::stop(const std::function<void()> &Done) {
  this->Stopping = true;
  if (!this->enabled() || !this->Lease.holds(this->Fold)) {
    Done();
    return;
  }
  wire::DutyReleaseRecord Release;
  Release.Duty = std::string(UsageDuty);
  Release.FencingNumber = this->fence();
  wire::DutyRecord Record;
  Record.__set_Release(Release);
  const std::string Bytes = encodeDuty(Record);
  this->Store.append(dutyPartition(), std::span(&Bytes, 1), AppendTimeout,
                     [Done](const StoreResult<int64_t> &) { Done(); });
}

} // namespace camphornotch
