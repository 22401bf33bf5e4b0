/// @file
/// The operator's command line tool: flags, help and choice of subcommand.

#include "base/text_func.h"
#include "ctl/command_func.h"
#include "ctl/output_func.h"
#include "net/http_client_base.h"

#include <array>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(log, "127.0.0.1:9001", "address of the log service");
DEFINE_string(host_list, "127.0.0.1:9002", "address of the host list");
DEFINE_bool(json, false, "print JSON for programs");
DEFINE_string(author, "", "who publishes or drains; default: $USER");
DEFINE_int64(base, -2,
             "publish: the offset that the file is based on; "
             "default: as its \"; base N\" line says, else the "
             "accepted one");
DEFINE_int64(timeout_ms, 15000, "longest wait for the log and for hosts");
DEFINE_int64(from, 0, "log: the first offset to print");
DEFINE_string(against, "", "check-config: another version to compare with");
DEFINE_bool(cancel, false, "drain: take the order back");
DEFINE_string(caller, "", "explain: a caller or trainer");
DEFINE_string(serves, "", "explain: a model or service");
DEFINE_string(method, "POST", "explain: the method of a service's call");
DEFINE_string(path, "", "explain: the path of a service's call");
DEFINE_string(endpoint, "", "explain: an endpoint a trainer would draw on");
DEFINE_string(host, "", "explain: a host that would leave");

namespace camphornotch {

namespace {

/// The version that --version prints.
constexpr const char *VersionText = "0.1.0";

/// One subcommand.
struct CommandSpec {
  std::string_view Name;
  size_t MinArguments;
  size_t MaxArguments;
  ExitCode (*Run)(const Options &);
  /// Usage and description, one line of --help.
  std::string_view Help;
};

constexpr std::array Commands{
    CommandSpec{"check", 1, 1, runCheck,
                "check FILE             name every faulty line"},
    CommandSpec{"check-config", 1, 1, runCheckConfig,
                "check-config FILE      check a platform configuration"},
    CommandSpec{"diff", 1, 2, runDiff,
                "diff FILE [OLD]        compare with the accepted file or OLD"},
    CommandSpec{"show", 0, 0, runShow,
                "show                   print the accepted file"},
    CommandSpec{"publish", 1, 1, runPublish,
                "publish FILE           publish, and wait until in force"},
    CommandSpec{"log", 0, 0, runLog,
                "log                    print the records of the log"},
    CommandSpec{"status", 0, 0, runStatus,
                "status                 print what every host reports"},
    CommandSpec{"explain", 0, 1, runExplain,
                "explain [FILE]         tell which rules decide, and why"},
    CommandSpec{
        "drain", 1, 1, runDrain,
        "drain HOST             order a host to leave (--cancel: stay)"},
};

/// The flags that this program defines, in the order of --help.
constexpr std::array FlagNames{"log",    "host_list",  "json",   "author",
                               "base",   "timeout_ms", "from",   "against",
                               "cancel", "caller",     "serves", "method",
                               "path",   "endpoint",   "host"};

/// Prints the subcommands and flags.
void printHelp() {
  std::cout << "camphornotch COMMAND [ARGUMENTS] [FLAGS]\n\n";
  for (const CommandSpec &Spec : Commands)
    std::cout << "  " << Spec.Help << "\n";
  std::cout << "\n";
  for (const char *Name : FlagNames)
    std::cout << gflags::DescribeOneFlag(
        gflags::GetCommandLineFlagInfoOrDie(Name));
  std::cout << "\nExit codes: 0 done, 1 bad command line, 2 faulty rules, "
               "3 lost a race,\n4 the platform does not answer, 5 published "
               "but hosts lag, 6 not found.\n";
}

/// @param Name a boolean flag that gflags itself defines.
/// @return whether it was given.
bool isFlagSet(const char *Name) {
  return gflags::GetCommandLineFlagInfoOrDie(Name).current_value == "true";
}

/// Parses the address in a flag.
/// @return whether it is valid; if not, the error is printed.
bool parseTargetFlag(std::string_view Flag, const std::string &Text,
                     HttpTarget &Out) {
  const Result<HttpTarget> Parsed = parseTarget(Text);
  if (Parsed.has_value()) {
    Out = Parsed.value();
    return true;
  }
  std::cerr << "--" << Flag << ": " << Parsed.error().Message << "; "
            << Parsed.error().Remedy << "\n";
  return false;
}

/// @return the value of --author, else the user name of the environment.
std::string authorName() {
  if (!FLAGS_author.empty())
    return FLAGS_author;
  const char *User = std::getenv("USER");
  return User == nullptr ? "unknown" : User;
}

/// Fills the options from the flags and the positional arguments.
/// @param Arguments the subcommand and its arguments; must not be empty.
/// @return whether the command line is valid; if not, the error is printed.
bool readOptions(std::vector<std::string> Arguments, Options &Out) {
  Out.Command = std::move(Arguments.front());
  Arguments.erase(Arguments.begin());
  Out.Arguments = std::move(Arguments);
  Out.Json = FLAGS_json;
  Out.Author = authorName();
  Out.Base = FLAGS_base;
  Out.Timeout = Millis{FLAGS_timeout_ms};
  Out.FirstOffset = FLAGS_from;
  Out.Against = FLAGS_against;
  Out.Cancel = FLAGS_cancel;
  Out.Caller = FLAGS_caller;
  Out.Serves = FLAGS_serves;
  Out.Method = FLAGS_method;
  Out.Path = FLAGS_path;
  Out.Endpoint = FLAGS_endpoint;
  Out.Host = FLAGS_host;
  return parseTargetFlag("log", FLAGS_log, Out.Log) &&
         parseTargetFlag("host_list", FLAGS_host_list, Out.HostList);
}

/// Runs the requested subcommand, or prints why the command line is invalid.
ExitCode runCommand(const Options &Wanted) {
  for (const CommandSpec &Spec : Commands) {
    if (Spec.Name != Wanted.Command)
      continue;
    const size_t Count = Wanted.Arguments.size();
    if (Count >= Spec.MinArguments && Count <= Spec.MaxArguments)
      return Spec.Run(Wanted);
    std::cerr << "wrong number of arguments; write: camphornotch " << Spec.Help
              << "\n";
    return ExitCode::Usage;
  }
  std::cerr << "unknown command \"" << Wanted.Command
            << "\"; see camphornotch --help\n";
  return ExitCode::Usage;
}

} // namespace

} // namespace camphornotch

int main(int Count, char **Arguments) {
  using namespace camphornotch;
  gflags::SetVersionString(VersionText);
  gflags::ParseCommandLineNonHelpFlags(&Count, &Arguments, true);
  if (isFlagSet("version")) {
    std::cout << "camphornotch " << VersionText << "\n";
    return static_cast<int>(ExitCode::Ok);
  }
  if (isFlagSet("help") || Count < 2) {
    printHelp();
    return static_cast<int>(Count < 2 && !isFlagSet("help") ? ExitCode::Usage
                                                            : ExitCode::Ok);
  }
  Options Wanted;
  if (!readOptions({Arguments + 1, Arguments + Count}, Wanted))
    return static_cast<int>(ExitCode::Usage);
  return static_cast<int>(runCommand(Wanted));
}
