/// @file
/// The subcommand log: prints the decoded records of the log, each with the
/// effect that it had.

#include "base/text_func.h"
#include "ctl/command_func.h"
#include "ctl/output_func.h"
#include "ctl/platform_base.h"

#include <algorithm>
#include <iostream>

namespace camphornotch {

namespace {

using nlohmann::json;

/// @return the record's kind and its identifying fields.
json describe(const wire::LogRecord &Record) {
  if (Record.__isset.Config)
    return {{"kind", "config"},
            {"base", Record.Config.BaseOffset},
            {"author", Record.Config.Author},
            {"publish_id", Record.Config.PublishId},
            {"bytes", Record.Config.Text.size() + Record.Config.Delta.size()}};
  if (Record.__isset.Claim)
    return {{"kind", "claim"},
            {"shard", Record.Claim.Shard},
            {"owner", Record.Claim.Owner},
            {"previous_epoch", Record.Claim.PreviousEpoch}};
  if (Record.__isset.Release)
    return {{"kind", "release"},
            {"shard", Record.Release.Shard},
            {"epoch", Record.Release.Epoch},
            {"successor", Record.Release.Successor}};
  if (Record.__isset.Boot)
    return {{"kind", "boot"},
            {"host", Record.Boot.Host},
            {"endpoint", Record.Boot.Endpoint},
            {"boot", Record.Boot.Boot}};
  if (Record.__isset.Step)
    return {{"kind", "step"},
            {"trainer", Record.Step.Trainer},
            {"step", Record.Step.Step},
            {"epoch", Record.Step.Epoch},
            {"groups", Record.Step.Groups.size()}};
  if (Record.__isset.Checkpoint)
    return {{"kind", "checkpoint"},
            {"trainer", Record.Checkpoint.Trainer},
            {"step", Record.Checkpoint.Step},
            {"epoch", Record.Checkpoint.Epoch},
            {"batch", Record.Checkpoint.Batch},
            {"done", Record.Checkpoint.StepDone}};
  if (Record.__isset.Intent)
    return {{"kind", "intent"},
            {"key", Record.Intent.Key},
            {"endpoint", Record.Intent.Endpoint},
            {"caller", Record.Intent.Caller}};
  if (Record.__isset.Outcome)
    return {{"kind", "outcome"},
            {"key", Record.Outcome.Key},
            {"intent", Record.Outcome.IntentOffset},
            {"status", Record.Outcome.Status},
            {"not_run", Record.Outcome.NotRun}};
  if (Record.__isset.Quarantine)
    return {{"kind", "quarantine"},
            {"digest", std::to_string(Record.Quarantine.Digest)},
            {"until_wall_ms", Record.Quarantine.UntilWallMs},
            {"released", Record.Quarantine.Released},
            {"evidence", Record.Quarantine.Evidence}};
  if (Record.__isset.Version)
    return {{"kind", "version"},
            {"model", Record.Version.Model},
            {"version", Record.Version.Version}};
  if (Record.__isset.Snapshot)
    return {{"kind", "snapshot"},
            {"covers", Record.Snapshot.CoversOffset},
            {"reset", Record.Snapshot.Reset},
            {"bytes", Record.Snapshot.State.size()}};
  if (Record.__isset.Drain)
    return {{"kind", "drain"},
            {"host", Record.Drain.Host},
            {"leave", Record.Drain.Leave},
            {"author", Record.Drain.Author}};
  return {{"kind", "unknown"}};
}

/// @param Changes what the record changed in the state of the log.
/// @return "stands" if it took effect, otherwise why it did not.
std::string verdictOf(const std::vector<FoldChange> &Changes) {
  for (const FoldChange &Change : Changes) {
    if (std::holds_alternative<DuplicateDropped>(Change))
      return "duplicate";
    if (const auto *Refused = std::get_if<ConfigRefused>(&Change))
      return concat("refused: ", Refused->Faults.front().Message);
    if (const auto *Lost = std::get_if<ClaimLost>(&Change))
      return concat("lost against epoch ", Lost->Standing.Value);
    if (const auto *Void = std::get_if<RecordVoid>(&Change))
      return concat("void: epoch ", Void->Standing.Value, " stands");
    if (const auto *Lost = std::get_if<IntentLost>(&Change))
      return concat("lost against the intent at ", Lost->Standing.Value);
  }
  return Changes.empty() ? "no change" : "stands";
}

/// Prints one record.
/// @param Verdict the result of verdictOf.
void printRecord(const Options &Wanted, const LoggedRecord &Logged,
                 const std::string &Verdict) {
  json Line = describe(Logged.Record);
  if (Wanted.Json) {
    Line["offset"] = Logged.Offset.Value;
    Line["writer"] = std::to_string(Logged.Record.WriterBoot);
    Line["sequence"] = Logged.Record.Sequence;
    Line["verdict"] = Verdict;
    printJson(Line);
    return;
  }
  std::cout << Logged.Offset.Value << " " << Line["kind"].get<std::string>();
  for (const auto &[Name, Value] : Line.items())
    if (Name != "kind")
      std::cout << " " << Name << "="
                << (Value.is_string() ? Value.get<std::string>()
                                      : Value.dump());
  std::cout << " (" << Verdict << ")\n";
}

} // namespace

ExitCode runLog(const Options &Wanted) {
  Platform Services(Wanted);
  LogFold Fold;
  for (;;) {
    const LogOffset FirstOffset{Fold.applied().Value + 1};
    const Result<LogPage> Page = Services.readPage(FirstOffset, Millis{0});
    if (!Page.has_value())
      return fail(Wanted, Page.error());
    if (Page.value().OldestOffset > FirstOffset)
      Fold.startAt(Page.value().OldestOffset);
    for (const LoggedRecord &Logged : Page.value().Records) {
      const std::vector<FoldChange> Changes =
          Fold.apply(Logged.Offset, Logged.Record);
      const std::string Verdict =
          Fold.known() ? verdictOf(Changes) : "state not known yet";
      if (Logged.Offset.Value >= Wanted.FirstOffset)
        printRecord(Wanted, Logged, Verdict);
    }
    if (Page.value().Records.empty())
      return ExitCode::Ok;
  }
}

} // namespace camphornotch
