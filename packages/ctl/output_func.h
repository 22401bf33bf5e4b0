/// @file
/// Output of the subcommands, for people and for programs.

#ifndef CAMPHORNOTCH_CTL_OUTPUT_FUNC_H
#define CAMPHORNOTCH_CTL_OUTPUT_FUNC_H

#include "base/error_type.h"
#include "ctl/options_type.h"
#include "rules/diff_type.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace camphornotch {

/// Prints a JSON value on one line.
/// @param Value the value.
void printJson(const nlohmann::json &Value);

/// @param Changes changes of rules.
/// @return them as JSON.
nlohmann::json diffJson(const std::vector<RuleChange> &Changes);

/// Prints errors: one line each, or a JSON object with "errors".
/// @param Wanted the command line.
/// @param Errors what is wrong.
/// @param Code the exit code.
/// @return the exit code.
ExitCode fail(const Options &Wanted, const std::vector<Error> &Errors,
              ExitCode Code);

/// Prints one error and chooses the exit code by its kind.
/// @param Wanted the command line.
/// @param Cause what is wrong.
/// @return the exit code.
ExitCode fail(const Options &Wanted, const Error &Cause);

/// @param Path a file.
/// @return its text, or why it cannot be read.
Result<std::string> readFile(const std::string &Path);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CTL_OUTPUT_FUNC_H
