/// @file
/// The subcommand about the platform's configuration: check-config.

#include "core/config/config_check_func.h"
#include "ctl/command_func.h"
#include "ctl/output_func.h"
#include "platform/config_document_func.h"

#include <iostream>

namespace camphornotch {

namespace {

/// The exit code if a file cannot be read.
constexpr ExitCode UnreadableConfig{3};

Result<ConfigDocument> loadConfig(const std::string &Path) {
  const Result<std::string> Text = readFile(Path);
  if (!Text.has_value())
    return Text.error();
  return platform::decodeConfigDocument(Text.value());
}

} // namespace

ExitCode runCheckConfig(const Options &Wanted) {
  const Result<ConfigDocument> Checked = loadConfig(Wanted.Arguments.front());
  if (!Checked.has_value())
    return fail(Wanted, {Checked.error()}, UnreadableConfig);
  std::vector<ConfigFinding> Findings = checkConfig(Checked.value());
  if (!Wanted.Against.empty()) {
    const Result<ConfigDocument> Other = loadConfig(Wanted.Against);
    if (!Other.has_value())
      return fail(Wanted, {Other.error()}, UnreadableConfig);
    const std::vector<ConfigFinding> Differences =
        compareConfigs(Other.value(), Checked.value());
    Findings.insert(Findings.end(), Differences.begin(), Differences.end());
  }
  if (Wanted.Json) {
    nlohmann::json Lines = nlohmann::json::array();
    for (const ConfigFinding &Each : Findings)
      Lines.push_back({{"level", levelName(Each.Level)},
                       {"entry", Each.Entry},
                       {"text", Each.Text}});
    printJson({{"findings", Lines}});
  } else {
    std::cout << renderFindings(Findings);
  }
  return static_cast<ExitCode>(findingsExitCode(Findings));
}

} // namespace camphornotch
