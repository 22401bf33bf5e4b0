/// @file
/// All of an agent's decisions: links on one side, the endpoint on the other.

#ifndef CAMPHORNOTCH_CORE_AGENT_AGENT_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_AGENT_BASE_H

#include "core/agent/admission_base.h"
#include "core/agent/agent_type.h"
#include "core/agent/boot_base.h"
#include "core/agent/crash_base.h"
#include "core/agent/label_base.h"
#include "core/agent/leave_base.h"
#include "core/agent/weight_base.h"
#include "core/agent/work_store_base.h"
#include "core/calls/intent_guard_base.h"
#include "rules/rule_set_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphornotch {

/// The controller of one agent. It joins admission, weights, labels, crash
/// attribution, leaving, the intent guard and the work store.
class AgentController {
public:
  /// @param Settings the settings.
  explicit AgentController(AgentControllerSettings Settings);

  /// @param Event what happened.
  /// @param Now when.
  /// @return what to do, in order.
  std::vector<AgentAction> handle(const AgentEvent &Event, Millis Now);

  /// @return when AgentTick is due.
  [[nodiscard]] Millis nextDeadline() const;

  /// @param Now the present.
  /// @return the figure that goes with every reply and heartbeat.
  [[nodiscard]] wire::LoadFigure load(Millis Now) const;

  /// @return the offset of the rules in force; NoOffset: none yet.
  [[nodiscard]] LogOffset configOffset() const { return this->ConfigOffset; }

  /// @return the hash of the rules in force.
  [[nodiscard]] int64_t configHash() const { return this->ConfigHash; }

  /// @return whether work can be taken, by rules that are not older than those
  ///   before the boot: for readiness checks.
  [[nodiscard]] bool ready() const;

  /// @return counts since the boot.
  [[nodiscard]] const AgentCounts &counts() const { return this->Counts; }

  /// @return the parts' own counts.
  [[nodiscard]] const AdmissionCounts &admissionCounts() const {
    return this->Admission.counts();
  }

  /// @return the parts' own counts.
  [[nodiscard]] const WeightCounts &weightCounts() const {
    return this->Weights.counts();
  }

private:
  /// Actions under construction.
  using Actions = std::vector<AgentAction>;

  /// What is known of the endpoint.
  enum class Health : uint8_t {
    Unknown, ///< Not probed since the boot.
    Up,      ///< It answers.
    Broken,  ///< A run broke: it is being found out why.
    Down,    ///< It does not answer.
  };

  /// Work known to the controller and not ended.
  struct OpenWork {
    /// The entry that sent it.
    HostId Peer;
    /// Its meaning at the endpoint.
    wire::WorkKind::type Kind = wire::WorkKind::Completion;
    /// Whether output is sent on as it arrives.
    bool Stream = false;
    /// The offset of the intent; IntentCall only.
    LogOffset Intent = NoOffset;
    /// Runs through the logs.
    std::string RequestId;
    /// Whether the endpoint's weights are older than asked for.
    bool TooOld = false;
  };

  /// An attempt at the endpoint.
  struct LiveRun {
    /// The work.
    WorkKey Key;
    /// The request id that the endpoint sees.
    std::string StreamId;
    /// The request's digest.
    int64_t Digest = 0;
    /// Output kept from earlier attempts.
    std::string KeptText;
    /// Which versions made the output.
    LabelTracker Label;
    /// When it started.
    Millis Started;
    /// How long it waited before.
    Millis Waited;
    /// When the first output came; zero: none yet.
    Millis FirstOutput;
    /// Probes in a row that did not show its stream.
    int Missed = 0;
  };

  /// @name Handlers, one for each event; each adds to the actions.
  /// @{
  void on(const PeerUp &Event, Millis Now, Actions &Out);
  void on(const PeerDown &Event, Millis Now, Actions &Out);
  void on(const PeerSaid &Event, Millis Now, Actions &Out);
  void on(const EndpointOutput &Event, Millis Now, Actions &Out);
  void on(const EndpointFinished &Event, Millis Now, Actions &Out);
  void on(const EndpointStopped &Event, Millis Now, Actions &Out);
  void on(const EndpointBroke &Event, Millis Now, Actions &Out);
  void on(const ProbeAnswered &Event, Millis Now, Actions &Out);
  void on(const WeightNews &Event, Millis Now, Actions &Out);
  void on(const LeaveNews &Event, Millis Now, Actions &Out);
  void on(const ClockJumped &Event, Millis Now, Actions &Out);
  void on(const AgentTick &Event, Millis Now, Actions &Out);
  /// @}

  /// @name Handlers of the messages of entries.
  /// @{
  void said(const HostId &Peer, const wire::StartWork &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::CancelWork &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::QueryWork &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::AckWork &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::ConfigPush &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::ConfigPull &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::Heartbeat &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::WeightsAnnounce &Message,
            Millis Now, Actions &Out);
  void said(const HostId &Peer, const wire::QuarantinePush &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::LeaveOrder &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::AppendReply &Message, Millis Now,
            Actions &Out);
  void said(const HostId &Peer, const wire::StandingReply &Message, Millis Now,
            Actions &Out);
  /// @}

  /// @name Parts' actions, carried out.
  /// @{
  void carry(const StartRun &Action, Millis Now, Actions &Out);
  void carry(const StopRun &Action, Millis Now, Actions &Out);
  void carry(const RefuseWork &Action, Millis Now, Actions &Out);
  void carry(const SendOrder &Action, Millis Now, Actions &Out);
  void carry(const AskVersion &Action, Millis Now, Actions &Out);
  void carry(const LabelInDoubt &Action, Millis Now, Actions &Out);
  void carry(const LabelConfirmed &Action, Millis Now, Actions &Out);
  void carry(const Superseded &Action, Millis Now, Actions &Out);
  void carry(const StopAdmission &Action, Millis Now, Actions &Out);
  void carry(const ResumeAdmission &Action, Millis Now, Actions &Out);
  void carry(const MoveRuns &Action, Millis Now, Actions &Out);
  void carry(const ExitProcess &Action, Millis Now, Actions &Out);
  /// @}

  /// Hands an event to admission and carries its actions out.
  void admit(const AdmissionEvent &Event, Millis Now, Actions &Out);
  /// Hands an event to the weight controller and carries its actions out.
  void weigh(const WeightEvent &Event, Millis Now, Actions &Out);
  /// Hands an event to the leave controller and carries its actions out.
  void leave(const LeaveEvent &Event, Millis Now, Actions &Out);
  /// Asks an entry what the boot needs to know, if that is due.
  void askEntries(Millis Now, Actions &Out);
  /// Tells the parts whether orders are allowed.
  void followStanding(Millis Now, Actions &Out);
  /// Opens, closes or holds admission as the endpoint and leaving demand.
  void followHealth(Millis Now, Actions &Out);

  /// Notes whether the rules in force are as new as all that was told.
  void followConfig();

  /// Sends a message to an entry.
  template <typename MessageT>
  static void tell(const HostId &Peer, const MessageT &Message, Actions &Out);
  /// @param Peer an entry.
  /// @param Work a work id of it.
  /// @return the work's key.
  [[nodiscard]] WorkKey keyOf(const HostId &Peer, int64_t Work) const;
  /// Takes a call under an intent: starts, joins, answers or refuses it.
  void takeIntent(const HostId &Peer, const wire::StartWork &Message,
                  Millis Now, Actions &Out);
  /// Checks quarantine, then hands work to admission.
  void submit(WorkKey Key, const wire::StartWork &Work, Millis Now,
              Actions &Out);
  /// Answers a question for one piece of work.
  void answerQuery(const HostId &Peer, int64_t Work, int64_t HaveBytes,
                   Millis Now, Actions &Out);
  /// Sends the output from an offset on, and the end if there is one.
  void replay(WorkKey Key, int64_t From, Millis Now, Actions &Out);
  /// Ends work with the whole answer.
  void finish(WorkKey Key, const OpenWork &Work, wire::WorkFinished Finished,
              Actions &Out);
  /// Answers everyone who waits for an intent.
  void finishIntent(LogOffset Intent, wire::WorkFinished Finished,
                    Actions &Out);
  /// Keeps output and sends it on.
  void sendTail(WorkKey Key, const HostId &Peer, const std::string &Data,
                Actions &Out);
  /// Ends work with a refusal.
  void refuse(WorkKey Key, const Refusal &Why, const LiveRun *Run, Millis Now,
              Actions &Out);
  /// Tells everyone who waits for an intent that it ended without an answer.
  void refuseIntent(LogOffset Intent, const Refusal &Why, Millis Now,
                    Actions &Out);
  /// @param Why why.
  /// @param Work the id to answer under.
  /// @param Now the present.
  /// @return the message.
  [[nodiscard]] wire::WorkRefused makeRefused(const Refusal &Why, int64_t Work,
                                              Millis Now) const;
  /// @param Run a finished attempt.
  /// @param Event what the endpoint said.
  /// @param Now the present.
  /// @return the message.
  [[nodiscard]] wire::WorkFinished makeFinished(const LiveRun &Run,
                                                const EndpointFinished &Event,
                                                Millis Now) const;
  /// Drops the work of an entry that went away.
  void dropOrphans(BootId Sender, Millis Now, Actions &Out);
  /// Sends a probe.
  void probe(Millis Now, Actions &Out);
  /// Concludes from a probe's answer whether the endpoint crashed.
  void judgeCrash(const ProbeAnswered &Event, Millis Now, Actions &Out);
  /// Reports a crash with what was running.
  void reportCrash(Millis Now, Actions &Out);
  /// Compares the endpoint's streams with the attempts.
  void matchStreams(const ProbeAnswered &Event, Millis Now, Actions &Out);
  /// Puts rules in force.
  void applyRules(const RuleSet &Rules, Millis Now, Actions &Out);

  /// The settings.
  AgentControllerSettings Settings;
  /// What runs, waits or is refused.
  AdmissionController Admission;
  /// The endpoint's version.
  WeightController Weights;
  /// Evidence against digests.
  CrashAttribution Crashes;
  /// Whether the agent is leaving.
  LeaveController Leaving;
  /// Output and answers.
  WorkStore Store;
  /// Calls that may run at most once.
  IntentGuard Intents;
  /// The boot's record and standing.
  BootRecorder Boot;
  /// The phase that the parts were told of.
  BootPhase ToldPhase = BootPhase::Recording;
  /// Boots of the entries that can be reached.
  std::map<HostId, BootId> Peers;
  /// Entries' boots that cannot be reached, with the time to drop their work.
  std::map<BootId, Millis> Orphans;
  /// Work that has not ended.
  std::map<WorkKey, OpenWork> Open;
  /// Attempts at the endpoint.
  std::map<RunId, LiveRun> Live;
  /// What is known of the endpoint.
  Health State = Health::Unknown;
  /// Digests of attempts that broke together.
  std::vector<int64_t> BrokenDigests;
  /// Stream ids of those attempts.
  std::vector<std::string> BrokenStreams;
  /// When the next probe is due.
  Millis ProbeAt;
  /// Number of the last probe.
  int64_t LastProbe = 0;
  /// When the last probe was sent.
  Millis ProbeSent;
  /// Why admission was told to refuse, if it was.
  std::optional<RefusalReason> ToldClosed;
  /// Whether admission was told to hold starts.
  bool ToldHeld = false;
  /// Offset of the rules in force.
  LogOffset ConfigOffset = NoOffset;
  /// The newest rules that any entry has told of.
  LogOffset NewestTold = NoOffset;
  /// Whether any entry has told of its rules.
  bool AnyTold = false;
  /// Linked entries that have not told of their rules since the link.
  std::set<HostId> Untold;
  /// Whether the agent has had, at some moment since its boot, the newest
  /// rules that all linked entries told of.
  bool Configured = false;
  /// Hash of the rules in force.
  int64_t ConfigHash = 0;
  /// The rules in force as text: the base of changes, and what a fresh entry
  /// gets while the log is down.
  std::string ConfigText;
  /// What the leave controller was told of.
  HoldingsChanged ToldHoldings;
  /// Counts since the boot.
  AgentCounts Counts;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_AGENT_BASE_H
