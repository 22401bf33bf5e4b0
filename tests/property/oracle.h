/// @file
/// What must always hold, in plain sets and counts.

#ifndef CAMPHORNOTCH_TESTS_PROPERTY_ORACLE_H
#define CAMPHORNOTCH_TESTS_PROPERTY_ORACLE_H

#include "core/samples/sample_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphornotch::property {

/// What an engine truly made.
struct TrueOutput {
  SlotKey Slot;
  std::vector<wire::LabelSegment> Segments;
};

/// Notes what truly happened and compares what was said of it.
struct Oracle {
  /// True outputs by their text.
  std::map<std::string, TrueOutput> Made;
  /// Slots of submissions that were acknowledged.
  std::set<SlotKey> Promised;
  /// Slots that the trainer holds.
  std::set<SlotKey> Held;
  /// How often each key ran.
  std::map<std::string, int> Ran;
  /// Keys whose caller was told "not run" since it sent them last.
  std::set<std::string> ToldNotRun;
  /// The first thing that went wrong; empty if nothing.
  std::string Fault;

  /// @param What a fault; the first one is kept.
  void fail(const std::string &What) {
    if (this->Fault.empty())
      this->Fault = What;
  }

  /// The trainer takes a sample.
  /// @param Taken the sample.
  /// @param Oldest the oldest version that it may have.
  void take(const Sample &Taken, int64_t Oldest) {
    if (!this->Held.insert(Taken.Slot).second)
      this->fail("a slot was delivered twice");
    const auto True = this->Made.find(Taken.Text);
    if (True == this->Made.end()) {
      this->fail("a sample that nobody made");
      return;
    }
    if (True->second.Slot != Taken.Slot)
      this->fail("the output of another slot");
    if (True->second.Segments != Taken.Segments)
      this->fail("a wrong label");
    for (const wire::LabelSegment &Segment : True->second.Segments)
      if (Segment.Version < Oldest)
        this->fail("a sample over the age bound");
  }

  /// A call starts at a service.
  /// @param Key its key.
  void run(const std::string &Key) {
    if (++this->Ran[Key] > 1)
      this->fail("a call ran twice");
    if (this->ToldNotRun.contains(Key))
      this->fail("a call ran after its caller was told not run");
  }

  /// The caller hears a refusal of its newest request.
  /// @param Key the key.
  /// @param State what it says.
  void refused(const std::string &Key, RunState State) {
    if (State != RunState::NotRun)
      return;
    if (this->Ran[Key] != 0)
      this->fail("told not run, but it ran");
    this->ToldNotRun.insert(Key);
  }

  /// The caller hears an answer.
  /// @param Key the key.
  /// @param Body the answer.
  void answered(const std::string &Key, const std::string &Body) {
    if (this->Ran[Key] != 1 || Body != "answer to " + Key)
      this->fail("an answer to another call");
  }
};

} // namespace camphornotch::property

#endif // CAMPHORNOTCH_TESTS_PROPERTY_ORACLE_H
