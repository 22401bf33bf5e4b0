/// @file
/// The subcommand publish: appends a rule file to the log, reads it back and
/// waits until all live hosts have applied it.

#include "base/clock_func.h"
#include "base/ini_func.h"
#include "base/text_func.h"
#include "ctl/command_func.h"
#include "ctl/output_func.h"
#include "ctl/platform_base.h"
#include "ctl/reports_func.h"
#include "rules/delta_func.h"
#include "rules/diff_func.h"
#include "rules/parse_func.h"

#include <absl/strings/numbers.h>
#include <iostream>
#include <random>

namespace camphornotch {

namespace {

using nlohmann::json;

/// Start of the line that states which offset a file is based on.
constexpr std::string_view BaseLinePrefix = "; base ";
/// Value of --base and of the base line if none was given.
constexpr int64_t NoBase = -2;
/// Time between two status requests to the hosts.
constexpr Millis PollInterval{100};

/// The rule file to publish.
struct Publication {
  std::string Path;
  /// The file's text, without the base line.
  std::string Text;
  /// The parsed rules.
  RuleSet Rules;
  /// Offset of the configuration that the file is based on.
  LogOffset Base = NoOffset;
  /// Unique id of this publication.
  std::string Id;
};

/// Which hosts have applied a published configuration.
struct RolloutProgress {
  /// Number of hosts that report it or a later one.
  size_t InForce = 0;
  /// Names of the live hosts that do not.
  std::vector<std::string> Lagging;
};

/// Removes the base line from the text of a file.
/// @return the base offset; NoBase if there is no valid base line.
int64_t removeBaseLine(std::string &Text) {
  if (!Text.starts_with(BaseLinePrefix))
    return NoBase;
  const size_t End = std::min(Text.find('\n'), Text.size());
  const std::string_view Number = trimSpace(std::string_view(Text).substr(
      BaseLinePrefix.size(), End - BaseLinePrefix.size()));
  int64_t Base = NoBase;
  if (!absl::SimpleAtoi(toAbsl(Number), &Base))
    return NoBase;
  Text.erase(0, std::min(End + 1, Text.size()));
  return Base;
}

/// @return a random publication id.
std::string randomPublishId() {
  std::random_device Device;
  return concat(Device(), "-", Device());
}

/// Reads and parses the file to publish.
/// @return ExitCode::Ok, or the exit code of the error that was printed.
ExitCode loadFile(const Options &Wanted, Publication &Out) {
  Out.Path = Wanted.Arguments.front();
  Result<std::string> Text = readFile(Out.Path);
  if (!Text.has_value())
    return fail(Wanted, Text.error());
  RuleResult Rules = parseRules(Out.Path, Text.value());
  if (!Rules.has_value())
    return fail(Wanted, Rules.error(), ExitCode::BadRules);
  Out.Rules = std::move(Rules.value());
  Out.Text = std::move(Text.value());
  const int64_t BaseInFile = removeBaseLine(Out.Text);
  Out.Base = LogOffset{Wanted.Base == NoBase ? BaseInFile : Wanted.Base};
  Out.Id = randomPublishId();
  return ExitCode::Ok;
}

/// Reports that another configuration was accepted since the file's base, and
/// prints how the file differs from it.
/// @param Accepted the configuration that is accepted now.
ExitCode reportConflict(const Options &Wanted, const AcceptedConfig &Accepted,
                        const Publication &File) {
  const auto Changes = diffRules(*Accepted.Rules, File.Rules);
  if (Wanted.Json) {
    printJson({{"published", false},
               {"base", File.Base.Value},
               {"accepted", Accepted.Offset.Value},
               {"changes", diffJson(Changes)},
               {"exit_code", int(ExitCode::Conflict)}});
    return ExitCode::Conflict;
  }
  std::cerr << File.Path << ": based on " << File.Base.Value << ", but "
            << Accepted.Offset.Value
            << " was accepted first; nothing was changed\n"
            << renderDiff(Changes)
            << "merge the difference from the accepted file (`camphornotch "
               "show`), then publish again\n";
  return ExitCode::Conflict;
}

/// @param Accepted the configuration that is accepted now.
/// @return the record to append. It holds the delta to the accepted text if
/// that
///   is smaller than the whole text.
wire::LogRecord makeRecord(const Publication &File, const std::string &Author,
                           const AcceptedConfig &Accepted) {
  wire::ConfigRecord Config;
  Config.BaseOffset = File.Base.Value;
  Config.PublishId = File.Id;
  Config.Author = Author;
  const std::string Delta = encodeDelta(Accepted.Text, File.Text);
  if (Accepted.Offset != NoOffset && Delta.size() < File.Text.size())
    Config.__set_Delta(Delta);
  else
    Config.__set_Text(File.Text);
  wire::LogRecord Record;
  Record.__set_Config(Config);
  return Record;
}

/// @param Changes what the published record changed.
/// @return the faults for which it was refused; empty if it was accepted.
std::vector<Error> refusalFaults(const std::vector<FoldChange> &Changes) {
  for (const FoldChange &Change : Changes)
    if (const auto *Refused = std::get_if<ConfigRefused>(&Change))
      return Refused->Faults;
  return {};
}

/// @param Offset the published offset.
/// @return which hosts have applied it; an error if the host list does not
///   answer.
Result<RolloutProgress> queryProgress(Platform &Services, LogOffset Offset) {
  const Result<Reports> Collected = collectReports(Services);
  if (!Collected.has_value())
    return Collected.error();
  RolloutProgress Out;
  for (const auto &[Host, Report] : Collected.value().Hosts) {
    if (Report.ConfigOffset >= Offset.Value)
      ++Out.InForce;
    else if (Report.ListState == "live")
      Out.Lagging.push_back(Host);
  }
  return Out;
}

/// Prints the result of a publication.
/// @param Offset the published offset.
/// @param Progress which hosts have applied it.
/// @param Elapsed time since the record was read back.
/// @return ExitCode::Ok if every live host, and at least one, has applied it;
///   otherwise ExitCode::Lagging.
ExitCode printResult(const Options &Wanted, LogOffset Offset,
                     const RolloutProgress &Progress, Millis Elapsed) {
  const bool Everywhere = Progress.Lagging.empty() && Progress.InForce > 0;
  const ExitCode Code = Everywhere ? ExitCode::Ok : ExitCode::Lagging;
  if (Wanted.Json) {
    printJson({{"published", true},
               {"offset", Offset.Value},
               {"in_force", Progress.InForce},
               {"lagging", Progress.Lagging},
               {"took_ms", Elapsed.Count},
               {"exit_code", int(Code)}});
    return Code;
  }
  if (Code == ExitCode::Ok) {
    std::cout << "in force on all " << Progress.InForce << " hosts after "
              << Elapsed.Count << " ms\n";
    return Code;
  }
  if (Progress.Lagging.empty()) {
    std::cerr << "published as " << Offset.Value
              << ", but no host is listed; look at the host list\n";
    return Code;
  }
  std::cerr << "published as " << Offset.Value << ", but "
            << Progress.Lagging.size() << " live hosts have not reported it:";
  for (const std::string &Host : Progress.Lagging)
    std::cerr << " " << Host;
  std::cerr << "\nlook at `camphornotch status`; they take it once they can be "
               "reached\n";
  return Code;
}

/// Waits until every live host reports the published offset or the command's
/// timeout expires.
ExitCode awaitInForce(const Options &Wanted, Platform &Services,
                      LogOffset Offset) {
  const Millis Start = steadyNow();
  size_t LastPrinted = SIZE_MAX;
  for (;;) {
    Result<RolloutProgress> Polled = queryProgress(Services, Offset);
    if (!Polled.has_value() && Services.deadlinePassed())
      return fail(Wanted, Polled.error());
    if (Polled.has_value()) {
      const RolloutProgress &Progress = Polled.value();
      if (!Wanted.Json && Progress.InForce != LastPrinted)
        std::cout << "in force on " << Progress.InForce << " of "
                  << Progress.InForce + Progress.Lagging.size() << " hosts"
                  << std::endl;
      LastPrinted = Progress.InForce;
      const bool Everywhere = Progress.Lagging.empty() && Progress.InForce > 0;
      if (Everywhere || Services.deadlinePassed())
        return printResult(Wanted, Offset, Progress, steadyNow() - Start);
    }
    Services.pause(PollInterval);
  }
}

} // namespace

ExitCode runPublish(const Options &Wanted) {
  Publication File;
  const ExitCode Loaded = loadFile(Wanted, File);
  if (Loaded != ExitCode::Ok)
    return Loaded;
  Platform Services(Wanted);
  LogFold Fold;
  const Result<LogOffset> End = Services.foldAll(Fold);
  if (!End.has_value())
    return fail(Wanted, End.error());
  const AcceptedConfig Before = Fold.config();
  if (File.Base == LogOffset{NoBase})
    File.Base = Before.Offset;
  const bool First = Before.Offset == NoOffset && File.Base <= LogOffset{0};
  if (!First && File.Base != Before.Offset)
    return reportConflict(Wanted, Before, File);
  if (!First && Before.Text == File.Text) {
    if (!Wanted.Json)
      std::cout << "no change against " << Before.Offset.Value << "\n";
    return awaitInForce(Wanted, Services, Before.Offset);
  }
  const Result<std::vector<FoldChange>> Changes =
      Services.append(makeRecord(File, Wanted.Author, Before), Fold);
  if (!Changes.has_value())
    return fail(Wanted, Changes.error());
  const std::vector<Error> Faults = refusalFaults(Changes.value());
  if (!Faults.empty() && Faults.front().Kind == ErrorKind::Conflict)
    return reportConflict(Wanted, Fold.config(), File);
  if (!Faults.empty())
    return fail(Wanted, Faults, ExitCode::BadRules);
  const LogOffset Offset = Fold.config().Offset;
  if (!Wanted.Json)
    std::cout << renderDiff(diffRules(*Before.Rules, File.Rules))
              << "accepted as " << Offset.Value << std::endl;
  return awaitInForce(Wanted, Services, Offset);
}

} // namespace camphornotch
