/// @file
/// Several processes compete for the usage duty while they freeze, lose the
/// store and die at any step.

#include "core/duties/duty_lease_base.h"
#include "core/duties/usage_reporter_base.h"
#include "wire/codec_func.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

constexpr Millis Step{100};
constexpr Millis Window{5'000};
const LeaseTimes Times;

/// A call that the operator received.
struct Call {
  Millis At;
  size_t Host = 0;
  int64_t Fence = 0;
  int64_t Window = 0;
  UsageCounts Counts;
};

/// One host and its present process.
struct Process {
  std::string Host;
  int64_t Boot = 1;
  DutyFold Fold;
  DutyLease Lease{UsageDuty, "", 0};
  UsageReporter Reporter{Window, 1};
  size_t NextOffset = 0;
  Millis ReadAt{0};
  int64_t NotedFence = 0;
  Millis FrozenUntil{0};
  Millis CutUntil{0};

  void start(Millis Now) {
    this->Fold = DutyFold{};
    this->Lease = DutyLease(UsageDuty, this->Host, this->Boot, Times);
    this->Reporter = UsageReporter(Window, 1);
    this->NextOffset = 0;
    this->ReadAt = Millis{0};
    this->NotedFence = 0;
    this->FrozenUntil = Now;
  }
};

/// The store's log, three processes and the operator's interface.
struct DutyWorld {
  std::vector<std::string> Log;
  std::array<Process, 3> Processes;
  std::vector<Call> Calls;
  /// Requests counted so far; it grows, so that late counts would differ.
  int64_t Counted = 0;
  Millis Now{100'000};
  /// The host that was last permitted to act, and when.
  size_t PermittedHost = 0;
  Millis PermittedUntil{0};
  std::set<size_t> Hosts;
  std::string Fault;

  DutyWorld() {
    for (size_t Index = 0; Index < this->Processes.size(); ++Index) {
      this->Processes[Index].Host = "h" + std::to_string(Index);
      this->Processes[Index].start(this->Now);
    }
  }

  /// Appends a record if the process has read the whole log.
  /// @param Answered whether the process gets the store's answer.
  void append(Process &Self, const wire::DutyRecord &Record, bool Answered) {
    if (Self.NextOffset != this->Log.size())
      return;
    this->Log.push_back(encodeDuty(Record));
    if (Answered)
      Self.Lease.stored(this->Now);
  }

  void read(Process &Self) {
    while (Self.NextOffset < this->Log.size()) {
      const std::string &Bytes = this->Log[Self.NextOffset];
      (void)Self.Fold.apply(static_cast<int64_t>(Self.NextOffset++), Bytes,
                            this->Now);
    }
    Self.ReadAt = this->Now;
    Self.Lease.observe(Self.Fold, this->Now);
    const int64_t Fence = Self.Lease.holds(Self.Fold)
                              ? Self.Fold.claim(UsageDuty)->FencingNumber
                              : 0;
    if (Fence != 0 && Fence != Self.NotedFence)
      Self.Reporter.becameHolder(this->Now);
    Self.NotedFence = Fence;
  }

  /// One step of a process.
  /// @param Luck decides what gets lost.
  void run(size_t Index, unsigned Luck) {
    Process &Self = this->Processes[Index];
    if (this->Now < Self.FrozenUntil)
      return;
    const bool Reaches = this->Now >= Self.CutUntil;
    if (Reaches)
      this->read(Self);
    const bool Answered = Luck % 4 != 0;
    wire::DutyRecord Record;
    const LeaseStep Next =
        Self.Lease.next(Self.Fold, true, Self.ReadAt, this->Now);
    if (Next == LeaseStep::Claim) {
      wire::DutyClaimRecord Claim;
      Claim.Duty = std::string(UsageDuty);
      Claim.Holder = Self.Host;
      Claim.Boot = Self.Boot;
      Record.__set_Claim(Claim);
    } else if (Next == LeaseStep::Renew) {
      wire::DutyRenewalRecord Renewal;
      Renewal.Duty = std::string(UsageDuty);
      Renewal.FencingNumber = Self.Fold.claim(UsageDuty)->FencingNumber;
      Record.__set_Renewal(Renewal);
    }
    if (Next != LeaseStep::None && Reaches)
      this->append(Self, Record, Answered);
    if (Self.Lease.permissionLeft(Self.Fold, this->Now) == Millis{0})
      return;
    this->report(Index, Luck, Reaches);
  }

  void report(size_t Index, unsigned Luck, bool Reaches) {
    Process &Self = this->Processes[Index];
    Self.Reporter.countsReceived(
        [this] {
          wire::UsageCountsPush Push;
          Push.Gateway = "g";
          wire::UsageWindow Each;
          Each.Window = this->Now.Count / Window.Count;
          Each.Counts = encodeCounts({{"one", ++this->Counted}});
          Push.Windows.push_back(Each);
          return Push;
        }(),
        this->Now);
    const UsageStep Next =
        Self.Reporter.next(Self.Fold, {HostId{"g"}}, this->Now, this->Now);
    const int64_t Fence = Self.Fold.claim(UsageDuty)->FencingNumber;
    if (const auto *Settle = std::get_if<SettleWindow>(&Next)) {
      wire::DutyRecord Record;
      Record.__set_Settled(
          settledRecord(Settle->Window, Fence, Settle->Counts));
      if (Reaches)
        this->append(Self, Record, Luck % 3 != 0);
    } else if (const auto *Report = std::get_if<ReportWindow>(&Next)) {
      this->Calls.push_back(
          Call{this->Now, Index, Fence, Report->Window, Report->Counts});
      // The answer may be lost.
      if (Luck % 5 == 0) {
        Self.Reporter.reportFailed(this->Now);
        return;
      }
      Self.Reporter.reported(Report->Window);
      wire::UsageReportedRecord Done;
      Done.Window = Report->Window;
      wire::DutyRecord Record;
      Record.__set_Reported(Done);
      if (Luck % 7 != 0)
        this->Log.push_back(encodeDuty(Record));
    }
  }

  void disturb(unsigned Luck) {
    Process &Self = this->Processes[Luck / 8 % 3];
    switch (Luck % 64) {
    case 0:
      Self.FrozenUntil = this->Now + Millis{Luck * 7 % 12'000};
      return;
    case 1:
      Self.CutUntil = this->Now + Millis{Luck % 12'000};
      return;
    case 2:
      ++Self.Boot;
      Self.start(this->Now + Millis{500});
      return;
    default:
      return;
    }
  }

  /// Notes if two hosts may act at the same time, or one too soon after
  /// another.
  void checkPermissions() {
    for (size_t Index = 0; Index < this->Processes.size(); ++Index) {
      const Process &Self = this->Processes[Index];
      if (Self.Lease.permissionLeft(Self.Fold, this->Now) == Millis{0})
        continue;
      if (this->PermittedHost != Index && this->PermittedUntil > Millis{0} &&
          this->Now - this->PermittedUntil < Times.Quiet)
        this->Fault = "a host may act too soon after another one";
      Hosts.insert(Index);
      this->PermittedHost = Index;
      this->PermittedUntil = this->Now;
    }
  }

  /// @return the broken rule; empty: none.
  std::string fault() const {
    if (!this->Fault.empty())
      return this->Fault;
    std::map<int64_t, UsageCounts> Reported;
    std::map<int64_t, size_t> HostOfFence;
    for (size_t Index = 0; Index < this->Calls.size(); ++Index) {
      const Call &Each = this->Calls[Index];
      if (Reported.try_emplace(Each.Window, Each.Counts).first->second !=
          Each.Counts)
        return "two reports of one window differ";
      if (HostOfFence.try_emplace(Each.Fence, Each.Host).first->second !=
          Each.Host)
        return "two hosts used one number";
      if (Index == 0)
        continue;
      const Call &Before = this->Calls[Index - 1];
      if (Each.Fence < Before.Fence)
        return "a lower number after a higher one";
      for (size_t Earlier = Index; Earlier-- > 0;)
        if (Before.Host != Each.Host &&
            this->Calls[Earlier].Host == Each.Host &&
            Each.At - this->Calls[Earlier].At < Times.Quiet)
          return "hosts A, B, A within the bound";
    }
    return "";
  }
};

} // namespace

// Guards against two holders, and against windows that are reported twice with
// different counts, whatever is killed, frozen or cut off at whichever moment.
Test(dutyProperty, anyFaults_keepOneHolderAndOneReportPerWindow) {
  size_t MostWindows = 0;
  size_t MostHosts = 0;
  const bool Held = rc::check("rules of the duty hold", [&] {
    const auto Lucks = *rc::gen::container<std::vector<unsigned>>(
        1'200, rc::gen::noShrink(rc::gen::arbitrary<uint16_t>()));
    DutyWorld World;
    for (const unsigned Luck : Lucks) {
      World.disturb(Luck / 64);
      World.checkPermissions();
      for (size_t Index = 0; Index < World.Processes.size(); ++Index)
        World.run((Index + Luck) % World.Processes.size(), Luck + Index);
      World.Now = World.Now + Step;
    }
    const std::string Fault = World.fault();
    if (!Fault.empty())
      RC_FAIL(Fault);
    MostWindows = std::max(MostWindows, World.Calls.size());
    MostHosts = std::max(MostHosts, World.Hosts.size());
  });
  cr_assert(Held);
  // A world in which nothing is reported, or by one host alone, would keep all
  // rules.
  cr_assert_geq(MostWindows, 15);
  cr_assert_eq(MostHosts, 3);
}
