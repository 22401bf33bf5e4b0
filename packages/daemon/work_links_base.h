/// @file
/// Work that this entry has at agents, matched with answers by its number.

#ifndef CAMPHORNOTCH_DAEMON_WORK_LINKS_BASE_H
#define CAMPHORNOTCH_DAEMON_WORK_LINKS_BASE_H

#include "base/id_type.h"
#include "camphornotch_types.h"
#include "net/link_hub_base.h"
#include "net/metrics_base.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace camphornotch {

/// How long a begun answer waits for its agent to come back. Longer than the
/// longest wait between connections, shorter than an agent keeps the work of
/// an entry that is gone.
inline constexpr Millis AnswerLossAfter = seconds(15);

/// Who started a piece of work.
enum class WorkOwner : uint8_t {
  Route,   ///< Requests that are answered whole, and scoring.
  Rollout, ///< Samples.
  Intent,  ///< Calls that may run at most once.
};

/// An answer, or a part of one, with its owner.
struct WorkEvent {
  /// Who started the work.
  WorkOwner Owner = WorkOwner::Route;
  /// The answer.
  std::variant<wire::WorkChunk, wire::WorkFinished, wire::WorkRefused> Answer;
};

/// Takes answers, with the host of the agent that sent them.
using WorkHandler = std::function<void(const HostId &, const WorkEvent &)>;

/// Sends work and finds the work of each answer, on whatever connection and
/// in whatever order answers come.
class WorkLinks {
public:
  /// @param Events the loop.
  /// @param Hub carries the messages.
  /// @param Counters the process's metrics.
  /// @param LossAfter how long a begun answer waits for its agent.
  WorkLinks(Loop &Events, LinkHub &Hub, Metrics &Counters,
            Millis LossAfter = AnswerLossAfter);

  /// @param Handler takes answers.
  void onAnswer(WorkHandler Handler) { this->Handler = std::move(Handler); }

  /// Sends work.
  /// @param Agent the agent's host.
  /// @param Work the work; its number is unused so far.
  /// @param Owner who starts it.
  /// @return false if it could not be sent; nothing runs then.
  bool start(const HostId &Agent, const wire::StartWork &Work, WorkOwner Owner);

  /// Stops work; its answer may still come.
  /// @param Work the work.
  /// @param KeepTokens whether its output is wanted.
  void stop(WorkId Work, bool KeepTokens);

  /// Stops work whose answer nobody wants.
  /// @param Work the work.
  void abandon(WorkId Work);

  /// The agent may forget the answer.
  /// @param Agent the agent's host.
  /// @param Work the work.
  void acknowledge(const HostId &Agent, WorkId Work);

  /// A link is up: asks for the answers that the old connection may have
  /// lost. A new boot has none: what was open at the old one is refused.
  /// @param Up the event.
  void linkUp(const LinkUp &Up);

  /// A peer is gone: its work is forgotten, which the owners learn by other
  /// ways. Answers of requests that have begun are kept, as they can't begin
  /// anew elsewhere: the agent may have been paused only.
  /// @param Agent the peer.
  void linkDown(const HostId &Agent);

  /// Takes a message that is an answer.
  /// @param Agent the sender.
  /// @param Message the message.
  /// @return whether it was one.
  bool take(const HostId &Agent, const wire::PeerMessage &Message);

  /// @return work without an answer.
  size_t open() const { return this->Works.size(); }

private:
  /// One piece of work at an agent.
  struct OpenWork {
    /// The agent's host.
    HostId Agent;
    /// Who started it.
    WorkOwner Owner = WorkOwner::Route;
    /// Whether its output is streamed.
    bool Stream = false;
    /// Bytes of streamed output received.
    int64_t Received = 0;

    /// @return whether a caller may have a part of the answer already.
    bool begun() const {
      return this->Owner == WorkOwner::Route && this->Received > 0;
    }
  };

  /// Takes a part of an output; drops what came before.
  /// @param Agent the sender.
  /// @param Chunk the part.
  void takeChunk(const HostId &Agent, const wire::WorkChunk &Chunk);
  /// Takes the end of work, once its whole output is here.
  /// @param Agent the sender.
  /// @param Answer the end.
  void takeFinished(const HostId &Agent, const wire::WorkFinished &Answer);
  /// Closes work.
  /// @param Agent the sender.
  /// @param Work the work.
  /// @return its owner; nothing if it is not open at this agent.
  std::optional<WorkOwner> settle(const HostId &Agent, WorkId Work);
  /// Sends the acknowledgements of this turn.
  void flushAcks();
  /// Asks an agent for what is open there.
  /// @param Agent the agent's host.
  void query(const HostId &Agent);
  /// Refuses all work of an agent that did not come back.
  /// @param Agent the agent's host.
  void lose(const HostId &Agent);

  /// The loop.
  Loop &Events;
  /// Carries the messages.
  LinkHub &Hub;
  /// Takes answers.
  WorkHandler Handler;
  /// Work without an answer.
  std::unordered_map<int64_t, OpenWork> Works;
  /// Work by agent.
  std::unordered_map<HostId, std::unordered_set<int64_t>> ByAgent;
  /// The boot that each peer was linked with last.
  std::unordered_map<HostId, BootId> Boots;
  /// Ends the wait for agents that are gone.
  std::unordered_map<HostId, TimerId> LossTimers;
  /// How long a begun answer waits for its agent.
  Millis LossAfter;
  /// Acknowledgements to be sent at the end of the turn.
  std::unordered_map<HostId, std::vector<int64_t>> Acks;
  /// Answers to work that is not open.
  prometheus::Counter &LateAnswers;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_WORK_LINKS_BASE_H
