/// @file
/// Entries, agents, a trainer, a caller and a log in memory, on virtual time.

#ifndef CAMPHORNOTCH_TESTS_PROPERTY_WORLD_H
#define CAMPHORNOTCH_TESTS_PROPERTY_WORLD_H

#include "core/calls/call_base.h"
#include "core/calls/intent_guard_base.h"
#include "core/claims/claim_base.h"
#include "core/fold/log_fold_base.h"
#include "core/samples/sample_base.h"
#include "oracle.h"

#include <deque>
#include <memory>
#include <optional>

namespace camphornotch::property {

inline constexpr int EntryCount = 3;
inline constexpr int AgentCount = 2;
/// Kinds of commands; those from FirstFault on are faults.
inline constexpr unsigned CommandKinds = 72;
inline constexpr unsigned FirstFault = 60;
/// Arguments of a command.
inline constexpr unsigned CommandArguments = 192;
/// The members when every entry is seen.
inline constexpr unsigned EveryEntry = (1U << EntryCount) - 1;

/// An attempt that an entry waits for.
struct OpenAttempt {
  SlotKey Slot;
  int64_t Version = 0;
};

/// One entry: the real controllers behind a real fold.
struct Entry {
  HostId Host;
  BootId Boot;
  bool Paused = false;
  /// All its releases are read back.
  bool Stopped = false;
  std::unique_ptr<LogFold> Fold;
  std::unique_ptr<ClaimController> Claims;
  std::unique_ptr<SampleController> Samples;
  std::unique_ptr<WorkIdSource> Works;
  std::unique_ptr<CallController> Calls;
  /// Appended, and not known to be in the log.
  std::vector<wire::LogRecord> Pending;
  int64_t Sequence = 0;
  size_t Read = 0;
  std::vector<OpenAttempt> Attempts;
  /// The newest configuration applied by this boot.
  int64_t ConfigOffset = -1;
};

/// A message to an agent, which may arrive late, twice or never.
struct IntentMessage {
  int From = 0;
  BootId FromBoot;
  int To = 0;
  wire::StartWork Message;
};

/// An agent's answer on its way.
struct IntentReply {
  int To = 0;
  BootId ToBoot;
  CallEvent Event;
};

/// One agent in front of a service.
struct Agent {
  HostId Host;
  BootId Boot;
  std::unique_ptr<IntentGuard> Guard;
  /// Intents that run, with their keys.
  std::map<LogOffset, std::string> Running;
  bool RefuseNext = false;
};

/// Everything, with one method a command.
class World {
public:
  World();

  /// Runs one command and checks what can be checked at any time.
  /// @param Command kind and argument in one number, so that it shrinks.
  void step(uint16_t Command);
  /// Ends all faults and lets the trainer fetch what it was promised.
  void heal();
  /// @return the first fault; empty if none.
  const std::string &fault() const { return this->Truth.Fault; }

private:
  void startEntry(int Place);
  void startAgent(int Place);
  void claimEvent(int Place, const ClaimEvent &Event);
  void sampleEvent(int Place, const SampleEvent &Event);
  void callEvent(int Place, const CallEvent &Event);
  void append(int Place, wire::LogRecord Record);
  void act(int Place, const SampleAction &Action);
  void act(int Place, const CallAction &Action);
  void take(int Place, const AnswerPull &Answer);
  void flush(int Place, bool AnswerLost);
  void readLog(int Place);
  void tick(int Place);
  void members(int Place, unsigned Mask);
  void submit(int Place, unsigned Argument);
  void pull(int Place, const std::string &Cursor, bool Lost);
  void sync();
  void newVersion(int Place, unsigned Argument);
  void duplicate(unsigned Argument);
  void stop(int Place);
  void stepFault(unsigned Kind, int Place, unsigned Rest);
  void finishAttempt(int Place, unsigned Argument, bool LabelKnown);
  void call(int Place, unsigned Argument);
  void deliver(unsigned Argument);
  void finishIntent(int Place);
  void reply(unsigned Argument);
  void publish(int Place);
  void setLog(bool Up);
  bool present(int Place) const { return !this->Entries[Place].Paused; }

  std::vector<wire::LogRecord> Log;
  bool LogUp = true;
  std::array<Entry, EntryCount> Entries;
  std::array<Agent, AgentCount> Agents;
  std::vector<IntentMessage> Messages;
  std::deque<IntentReply> Replies;
  Oracle Truth;
  Millis Now{0};
  int64_t NextBoot = 1;
  int64_t NextRequest = 1;
  int64_t NextOutput = 1;
  int64_t Newest = 1;
  /// The trainer.
  std::string Cursor;
  std::string OldCursor;
  int64_t TrainerVersion = 0;
  int64_t Step = 0;
  bool LoseAnswer = false;
  bool GotAnswer = false;
  std::map<int64_t, std::set<SlotKey>> SubmittedBy;
  /// The caller: the newest request of each key, and whose request it was.
  std::map<std::string, int64_t> NewestRequest;
  std::map<int64_t, std::string> KeyOf;
};

} // namespace camphornotch::property

#endif // CAMPHORNOTCH_TESTS_PROPERTY_WORLD_H
