/// @file
/// Holds the usage duty if no other process does, and reports the usage of
/// client accounts.

#ifndef CAMPHORNOTCH_GATEWAY_DUTY_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_DUTY_TASK_BASE_H

#include "base/settings_type.h"
#include "core/duties/duty_lease_base.h"
#include "core/duties/true_time_base.h"
#include "core/duties/usage_reporter_base.h"
#include "net/http_client_base.h"
#include "net/metrics_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <set>
#include <string>

namespace camphornotch {

/// What the task asks of its owner.
struct DutyTaskCallbacks {
  /// @return whether this process may claim the duty.
  std::function<bool()> IsCandidate;
  /// @return the hosts with a link to this process.
  std::function<std::vector<HostId>()> Linked;
  /// Sends a message to all of them.
  std::function<void(const wire::PeerMessage &)> Broadcast;
};

/// A loader's part of the usage duty. It reads the duties' partition only while
/// it may claim the duty or holds it. Without an interface for duties in the
/// settings it does nothing.
class DutyTask {
public:
  DutyTask(Loop &Events, HttpClient &Http, platform::StoreClient &Store,
           const CommonSettings &Settings, Metrics &Counts,
           DutyTaskCallbacks Callbacks, LeaseTimes Times = {});

  /// Starts to follow the duty.
  void begin();

  /// @return whether there is an interface for duties.
  bool enabled() const { return this->Service.Port != 0; }

  void onWallClock(const HostId &Peer, int64_t WallMs);
  void onLinkDown(const HostId &Peer);
  void onCounts(const wire::UsageCountsPush &Push);

  /// Gives the duty up before the process ends.
  /// @param Done called once that is stored, or after a short while.
  void stop(const std::function<void()> &Done);

private:
  /// Takes the next step and schedules the one after it.
  void tick();
  /// Reads the partition, unless a read is under way.
  void read();
  void onRead(const StoreResult<ReadPage> &Page, Millis SentAt);
  /// Notes and logs that the duty was taken or lost.
  void noteHolder();
  /// Settles or reports a window, claims or renews the duty, if due.
  void act();
  /// Appends a record on the condition that nothing was appended since the last
  /// read.
  /// @param What for the log.
  void append(const wire::DutyRecord &Record, std::string_view What);
  void settle(const SettleWindow &Step);
  /// Settles or reports a window, if one is due.
  /// @param Permission how long this process may act.
  void report(Millis Permission);
  void send(const ReportWindow &Step, Millis Permission);
  void onReported(int64_t Window, int Status, std::string_view Cause);
  /// Tells gateways who holds the duty.
  void announce();
  Millis trueNow() const;
  int64_t fence() const;

  Loop &Events;
  HttpClient &Http;
  platform::StoreClient &Store;
  HttpTarget Service;
  std::string Host;
  int64_t Boot;
  DutyTaskCallbacks Callbacks;
  DutyFold Fold;
  DutyLease Lease;
  UsageReporter Reporter;
  TrueTime Clock;
  int64_t NextOffset = 0;
  /// Whether the last read reached the end, and when it was answered.
  bool AtEnd = false;
  Millis ReadAt{0};
  bool Reading = false;
  bool Appending = false;
  bool Reporting = false;
  bool Stopping = false;
  /// The fencing number under which this process was last noted as holder; 0:
  /// it does not hold the duty.
  int64_t NotedFence = 0;
  Millis AnnouncedAt{0};
  prometheus::Counter &Sent;
  prometheus::Counter &Late;
  prometheus::Counter &Failed;
  prometheus::Gauge &Holder;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_DUTY_TASK_BASE_H
