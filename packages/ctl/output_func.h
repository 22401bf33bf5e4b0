/// @file
/// Output of the subcommands as text and as JSON.

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
void printJson(const nlohmann::json &Value);

/// @return the rule changes as a JSON array.
nlohmann::json diffJson(const std::vector<RuleChange> &Changes);

/// Prints errors: one line each on standard error, or with --json an object
/// with the member "errors" on standard output.
/// @return Code.
ExitCode fail(const Options &Wanted, const std::vector<Error> &Errors,
              ExitCode Code);

/// Prints one error.
/// @return the exit code for the kind of error; ExitCode::Usage for a kind
///   that has no code of its own.
ExitCode fail(const Options &Wanted, const Error &Cause);

/// @return the content of the file, or why it cannot be read.
Result<std::string> readFile(const std::string &Path);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CTL_OUTPUT_FUNC_H
