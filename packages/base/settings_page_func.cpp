/// @file
/// Rendering of the table of settings as a Markdown page.

#include "base/settings_func.h"
#include "base/table/settings.h"
#include "base/text_func.h"

#include <absl/strings/str_replace.h>

namespace camphornotch {

namespace {

/// @return the name of the type on the page.
std::string_view typeName(const std::string &) { return "text"; }
std::string_view typeName(const Address &) { return "IP:PORT"; }
std::string_view typeName(const Millis &) { return "milliseconds"; }
std::string_view typeName(const int64_t &) { return "number"; }
std::string_view typeName(const bool &) { return "yes, no"; }

/// @return the type of the setting, or its allowed words.
std::string typeCell(const SettingSpec &Spec) {
  if (!Spec.Words.empty())
    return absl::StrReplaceAll(toAbsl(Spec.Words), {{"|", ", "}});
  return std::visit(
      []<typename OwnerT, typename ValueT>(ValueT OwnerT::*) {
        return std::string(typeName(ValueT{}));
      },
      Spec.Target);
}

/// @return the roles that use the setting.
std::string_view roleCell(const SettingSpec &Spec) {
  return std::visit(
      []<typename OwnerT, typename ValueT>(ValueT OwnerT::*) {
        if constexpr (std::is_same_v<OwnerT, EntrySettings>)
          return std::string_view("entry");
        else if constexpr (std::is_same_v<OwnerT, AgentSettings>)
          return std::string_view("agent");
        else
          return std::string_view("both");
      },
      Spec.Target);
}

std::string defaultCell(const SettingSpec &Spec) {
  if (Spec.Default == NoDefault)
    return "must be given";
  if (Spec.Default.empty())
    return "none";
  return std::string(Spec.Default);
}

/// @return the range of the setting; empty if it has none.
std::string rangeCell(const SettingSpec &Spec) {
  if (Spec.Min == 0 && Spec.Max == 0)
    return "";
  return concat(Spec.Min, " to ", Spec.Max);
}

/// @return the names of the settings whose bad values are replaced.
std::string replacedNames() {
  std::string Names;
  for (const SettingSpec &Spec : SettingsTable)
    if (Spec.WhenBad == BadValue::Replaced)
      Names += concat("- `[", Spec.Section, "] ", Spec.Name, "`\n");
  return Names;
}

} // namespace

std::string renderSettingsPage() {
  std::string Page =
      "# Settings of `camphornotchd`\n\n"
      "An INI file, given by `--config FILE`; `--set section.name=value,...`\n"
      "overrides it. `--check_settings` prints every fault and exits with 2 "
      "if\n"
      "there is one. This page is the output of `--help_settings`.\n";
  Page += concat("\nFaulty settings are read again for 2 s, since the file may "
                 "be being written.\n"
                 "The platform fills in these settings of gateways and "
                 "loaders. One that is empty,\n"
                 "mistyped or out of range ends no start: the nearest number "
                 "or the default is\n"
                 "used, an unlimited one counts as not given, and the line "
                 "`unusable settings\n"
                 "replaced` names them:\n\n",
                 replacedNames());
  std::string_view Section;
  for (const SettingSpec &Spec : SettingsTable) {
    if (Spec.Section != Section) {
      Section = Spec.Section;
      Page += concat("\n## [", Section,
                     "]\n\n| name | type | default | range | role | meaning |\n"
                     "| --- | --- | --- | --- | --- | --- |\n");
    }
    Page += concat("| `", Spec.Name, "` | ", typeCell(Spec), " | ",
                   defaultCell(Spec), " | ", rangeCell(Spec), " | ",
                   roleCell(Spec), " | ", Spec.Help, " |\n");
  }
  return Page;
}

} // namespace camphornotch
