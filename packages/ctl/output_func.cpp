/// @file
/// Output of the subcommands as text and as JSON.

#include "ctl/output_func.h"

#include "base/settings_func.h"
#include "base/text_func.h"
#include "rules/diff_func.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace camphornotch {

using nlohmann::json;

void printJson(const json &Value) {
  std::cout << Value.dump(-1, ' ', false, json::error_handler_t::replace)
            << std::endl;
}

json diffJson(const std::vector<RuleChange> &Changes) {
  json Out = json::array();
  for (const RuleChange &Change : Changes)
    Out.push_back({{"change", changeName(Change.Kind)},
                   {"section", Change.Section},
                   {"rule", Change.Name},
                   {"before", Change.Before},
                   {"after", Change.After},
                   {"asked_by", Change.AskedBy}});
  return Out;
}

ExitCode fail(const Options &Wanted, const std::vector<Error> &Errors,
              ExitCode Code) {
  if (!Wanted.Json) {
    std::cerr << renderFaults(Errors);
    return Code;
  }
  json List = json::array();
  for (const Error &Cause : Errors)
    List.push_back({{"message", Cause.Message}, {"remedy", Cause.Remedy}});
  printJson({{"errors", std::move(List)}, {"exit_code", int(Code)}});
  return Code;
}

ExitCode fail(const Options &Wanted, const Error &Cause) {
  ExitCode Code = ExitCode::Usage;
  if (Cause.Kind == ErrorKind::BadRule)
    Code = ExitCode::BadRules;
  if (Cause.Kind == ErrorKind::Conflict)
    Code = ExitCode::Conflict;
  if (Cause.Kind == ErrorKind::Unavailable)
    Code = ExitCode::Unavailable;
  if (Cause.Kind == ErrorKind::NotFound)
    Code = ExitCode::NotFound;
  return fail(Wanted, std::vector{Cause}, Code);
}

Result<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream)
    return Error{ErrorKind::NotFound, concat(Path, ": cannot be read"),
                 "give the path of a readable file"};
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return std::move(Text).str();
}

} // namespace camphornotch
