/// @file
/// The entry's task for the log: reads, folds, appends, also for agents.

#ifndef CAMPHORNOTCH_DAEMON_LOG_TASK_BASE_H
#define CAMPHORNOTCH_DAEMON_LOG_TASK_BASE_H

#include "base/settings_type.h"
#include "core/claims/log_type.h"
#include "core/fold/carry_forward_base.h"
#include "core/fold/log_fold_base.h"
#include "net/log_client_base.h"
#include "net/metrics_base.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace camphornotch {

/// What the log task tells.
struct LogTaskEvents {
  /// A record that the fold took, in the order of offsets.
  std::function<void(const RecordCommitted &)> Committed;
  /// What the record changed.
  std::function<void(const std::vector<FoldChange> &)> Changed;
  /// The log began or stopped to answer.
  std::function<void(const LogStatus &)> Status;
  /// The answer to an agent's append.
  std::function<void(const HostId &, const wire::AppendReply &)> Reply;
};

/// Owns reader, appender and fold.
class LogTask {
public:
  /// Told the offset of a record that was appended here.
  using Committed = std::function<void(LogOffset)>;

  /// @param Events the loop.
  /// @param Http sends the calls.
  /// @param Settings the common settings.
  /// @param Boot this process's boot.
  /// @param Counters the process's metrics.
  LogTask(Loop &Events, HttpClient &Http, const CommonSettings &Settings,
          BootId Boot, Metrics &Counters);

  /// Begins to read.
  /// @param Tell what to tell.
  void start(LogTaskEvents Tell);

  /// @return the folded state.
  const LogFold &fold() const { return this->Fold; }

  /// @return whether all records of the start were read and the state is
  ///         whole.
  bool caughtUp() const { return this->ReadOnce && this->Fold.known(); }

  /// @return whether the log answers.
  bool reachable() const { return this->Reader.reachable(); }

  /// Appends a record.
  /// @param Record the record.
  /// @param Done told once it is read back; may be empty.
  /// @return false if too much waits for the log.
  bool append(const wire::LogRecord &Record, Committed Done = {});

  /// Appends records for an agent; the reply comes as an event.
  /// @param Peer the agent's host.
  /// @param Request its request.
  void appendFor(const HostId &Peer, const wire::AppendRequest &Request);

private:
  /// A record by its writer.
  using WriterKey = std::pair<int64_t, int64_t>;

  /// An agent's append that is not wholly read back.
  struct AgentAppend {
    /// The agent's host.
    HostId Peer;
    /// The answer under construction; NoOffset: not read back.
    wire::AppendReply Reply;
    /// Records not read back.
    size_t Missing = 0;
  };

  /// Takes a record of the log.
  /// @param Offset its offset.
  /// @param Record the record.
  void onRecord(LogOffset Offset, const wire::LogRecord &Record);
  /// Remembers where a writer's record stands.
  /// @param Key the record.
  /// @param Offset its first offset.
  void remember(const WriterKey &Key, LogOffset Offset);
  /// Notes the offset of an agent's record.
  /// @param Key the record.
  /// @param Offset its offset.
  void settleAgents(const WriterKey &Key, LogOffset Offset);
  /// Takes note that one record of an append stands.
  /// @param Id the append.
  /// @param Position the record's place in it.
  /// @param Offset where it stands.
  void settleOne(uint64_t Id, size_t Position, LogOffset Offset);
  /// Appends a snapshot when it is this entry's turn.
  void carryForward();

  /// The loop.
  Loop &Events;
  /// The common settings.
  const CommonSettings &Settings;
  /// What to tell.
  LogTaskEvents Tell;
  /// The folded state.
  LogFold Fold;
  /// Appends.
  LogAppender Appender;
  /// Reads.
  LogReader Reader;
  /// Whether the log was read to its end once.
  bool ReadOnce = false;
  /// Whom to tell about own records, by sequence.
  std::map<int64_t, Committed> Waiting;
  /// Appends of agents that are not wholly read back.
  std::map<uint64_t, AgentAppend> AgentAppends;
  /// Which append and place wait for a record.
  std::multimap<WriterKey, std::pair<uint64_t, size_t>> AgentRecords;
  /// Offsets of the newest records, for agents that repeat an append.
  std::map<WriterKey, LogOffset> Recent;
  /// The keys of Recent in the order of their offsets.
  std::deque<WriterKey> RecentOrder;
  /// The last number of an agent's append.
  uint64_t LastAppend = 0;
  /// Decides when to append a snapshot.
  CarryForward Carry;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_LOG_TASK_BASE_H
