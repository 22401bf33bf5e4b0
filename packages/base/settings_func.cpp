/// @file
/// Parsing of settings, driven by the table of settings.

#include "base/settings_func.h"

#include "base/address_func.h"
#include "base/ini_func.h"
#include "base/table/settings.h"
#include "base/text_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace camphornotch {

namespace {

/// Longest line of a settings file: a deployment may have many data centres.
constexpr size_t MaxSettingsLineBytes = size_t{64} << 10;

/// A value and its origin.
struct GivenValue {
  /// The value as written.
  std::string Value;
  /// "file:line: " or "--set: ".
  std::string Place;
};

/// The given values by section and name.
using GivenValues = std::map<std::pair<std::string, std::string>, GivenValue>;

/// Settings of all roles, while they are being filled.
struct SettingsDraft {
  CommonSettings Common;
  EntrySettings Entry;
  AgentSettings Agent;
  GatewaySettings Gateway;
  LoaderSettings Loader;

  /// Notes that another value is used than the given one.
  void noteReplaced(const SettingSpec &Spec, std::string_view Given,
                    std::string_view Used) {
    this->Common.Replaced.push_back(concat("[", Spec.Section, "] ", Spec.Name,
                                           ": \"", Given, "\" -> \"", Used,
                                           "\""));
  }

  /// @return the member that has the type of the argument.
  CommonSettings &groupOf(const CommonSettings *) { return this->Common; }
  EntrySettings &groupOf(const EntrySettings *) { return this->Entry; }
  AgentSettings &groupOf(const AgentSettings *) { return this->Agent; }
  GatewaySettings &groupOf(const GatewaySettings *) { return this->Gateway; }
  LoaderSettings &groupOf(const LoaderSettings *) { return this->Loader; }
};

/// @return whether the role uses the setting.
bool isUsedByRole(const SettingSpec &Spec, std::string_view Role) {
  return std::visit(
      [Role]<typename OwnerT, typename ValueT>(ValueT OwnerT::*) {
        if constexpr (std::is_same_v<OwnerT, EntrySettings>)
          return Role == "entry";
        else if constexpr (std::is_same_v<OwnerT, AgentSettings>)
          return Role == "agent";
        else if constexpr (std::is_same_v<OwnerT, GatewaySettings>)
          return Role == "gateway";
        else if constexpr (std::is_same_v<OwnerT, LoaderSettings>)
          return Role == "loader";
        else
          return true;
      },
      Spec.Target);
}

/// @return "[section] name".
std::string settingName(const SettingSpec &Spec) {
  return concat("[", Spec.Section, "] ", Spec.Name);
}

Error badValue(const SettingSpec &Spec, const GivenValue &Given,
               std::string_view Problem, std::string_view Remedy) {
  return Error{ErrorKind::BadSetting,
               concat(Given.Place, settingName(Spec), ": \"", Given.Value,
                      "\" ", Problem),
               std::string(Remedy)};
}

/// The error of a conversion, or nothing.
using Fault = std::optional<Error>;

/// Converts the value of a setting.
Fault convert(const SettingSpec &Spec, const GivenValue &Given,
              std::string &Out) {
  Out = Given.Value;
  if (Spec.Words.empty()) {
    if (Given.Value.empty() && Spec.Default == NoDefault)
      return badValue(Spec, Given, "is empty", Spec.Help);
    return {};
  }
  const std::vector<std::string> Words =
      absl::StrSplit(toAbsl(Spec.Words), '|');
  for (const std::string &Word : Words)
    if (Word == Given.Value)
      return {};
  return badValue(Spec, Given, "is not known",
                  concat("write one of ", Spec.Words));
}

Fault convert(const SettingSpec &Spec, const GivenValue &Given, Address &Out) {
  if (Given.Value.empty() && Spec.Default.empty())
    return {};
  const Result<Address> Parsed = parseAddress(Given.Value);
  if (!Parsed.has_value())
    return badValue(Spec, Given, "is no address", Parsed.error().Remedy);
  Out = Parsed.value();
  return {};
}

Fault convert(const SettingSpec &Spec, const GivenValue &Given, int64_t &Out) {
  const std::string Range =
      concat("write a whole number from ", Spec.Min, " to ", Spec.Max);
  int64_t Number = 0;
  if (!absl::SimpleAtoi(toAbsl(Given.Value), &Number))
    return badValue(Spec, Given, "is no whole number", Range);
  if (Number < Spec.Min || Number > Spec.Max)
    return badValue(Spec, Given, "is out of range", Range);
  Out = Number;
  return {};
}

Fault convert(const SettingSpec &Spec, const GivenValue &Given, Millis &Out) {
  return convert(Spec, Given, Out.Count);
}

Fault convert(const SettingSpec &Spec, const GivenValue &Given, bool &Out) {
  Out = Given.Value == "yes";
  if (Out || Given.Value == "no")
    return {};
  return badValue(Spec, Given, "is neither yes nor no", "write yes or no");
}

/// Converts a value and assigns it to the member that the row names.
Fault assign(const SettingSpec &Spec, const GivenValue &Given,
             SettingsDraft &Draft) {
  return std::visit(
      [&]<typename OwnerT, typename ValueT>(ValueT OwnerT::*Member) {
        const OwnerT *Kind = nullptr;
        return convert(Spec, Given, Draft.groupOf(Kind).*Member);
      },
      Spec.Target);
}

/// @return the row of the setting; null if there is none.
const SettingSpec *findSetting(std::string_view Section,
                               std::string_view Name) {
  for (const SettingSpec &Spec : SettingsTable)
    if (Spec.Section == Section && Spec.Name == Name)
      return &Spec;
  return nullptr;
}

/// @param Section a section from the file; it may be unknown.
/// @return the remedy for an unknown name in the section.
std::string knownNames(std::string_view Section) {
  std::string Names;
  for (const SettingSpec &Spec : SettingsTable)
    if (Spec.Section == Section)
      Names += concat(Names.empty() ? "" : ", ", Spec.Name);
  if (!Names.empty())
    return concat("names in [", Section, "]: ", Names);
  return "sections: process, listen, platform, intervals, limits, logging, "
         "entry, endpoint, gateway, loader";
}

/// Adds a given value to Values, or an error to Faults if there is no such
/// setting.
void addValue(std::string_view Section, std::string_view Name, GivenValue Given,
              GivenValues &Values, std::vector<Error> &Faults) {
  if (findSetting(Section, Name) == nullptr) {
    Faults.push_back(
        Error{ErrorKind::BadSetting,
              concat(Given.Place, "[", Section, "] ", Name, " is not known"),
              knownNames(Section)});
    return;
  }
  Values[{std::string(Section), std::string(Name)}] = std::move(Given);
}

/// Adds the entries of the file to Values and its errors to Faults.
void addFileValues(std::string_view FileName, std::string_view Text,
                   GivenValues &Values, std::vector<Error> &Faults) {
  IniFile File = parseIni(FileName, Text, MaxSettingsLineBytes);
  for (Error &Problem : File.Errors) {
    Problem.Kind = ErrorKind::BadSetting;
    Faults.push_back(std::move(Problem));
  }
  for (IniEntry &Entry : File.Entries) {
    const std::string Place = iniPlace(FileName, Entry.Line);
    if (Values.contains({Entry.Section, Entry.Name}))
      Faults.push_back(Error{ErrorKind::BadSetting,
                             concat(Place, "[", Entry.Section, "] ", Entry.Name,
                                    " is given twice"),
                             "keep one of the lines"});
    addValue(Entry.Section, Entry.Name, {Entry.Value, Place}, Values, Faults);
  }
}

/// Adds the overrides of the command line to Values and errors to Faults.
/// @param Overrides "section.name=value,...".
void addOverrides(std::string_view Overrides, GivenValues &Values,
                  std::vector<Error> &Faults) {
  const std::vector<std::string> Parts =
      absl::StrSplit(toAbsl(Overrides), ',', absl::SkipWhitespace());
  for (const std::string &Part : Parts) {
    const size_t Equals = Part.find('=');
    const size_t Dot = Part.find('.');
    if (Equals == std::string::npos || Dot > Equals) {
      Faults.push_back(Error{ErrorKind::BadSetting,
                             concat("--set: \"", Part, "\" is no setting"),
                             "write section.name=value"});
      continue;
    }
    const std::string_view View = Part;
    const std::string_view Section = trimSpace(View.substr(0, Dot));
    const std::string_view Name =
        trimSpace(View.substr(Dot + 1, Equals - Dot - 1));
    GivenValue Given{std::string(trimSpace(View.substr(Equals + 1))),
                     "--set: "};
    addValue(Section, Name, std::move(Given), Values, Faults);
  }
}

/// @return the value given for the setting; null if there is none.
const GivenValue *findValue(const GivenValues &Values,
                            const SettingSpec &Spec) {
  const auto Found =
      Values.find({std::string(Spec.Section), std::string(Spec.Name)});
  return Found == Values.end() ? nullptr : &Found->second;
}

/// @return whether a bad value of the setting is replaced for the role.
bool isReplaceable(const SettingSpec &Spec, std::string_view Role) {
  return Spec.WhenBad == BadValue::Replaced &&
         (Role == "gateway" || Role == "loader");
}

/// @return the allowed whole number next to the one that the text is; nothing
///   if the text is none or says that there is no limit.
std::optional<int64_t> nearestNumber(const SettingSpec &Spec,
                                     std::string_view Text) {
  double Number = 0;
  if (Spec.Max == 0 || !absl::SimpleAtod(toAbsl(Text), &Number) ||
      !std::isfinite(Number) || Number <= 0)
    return std::nullopt;
  // 0 stands for no limit in settings that allow it.
  const auto Least = static_cast<double>(std::max<int64_t>(Spec.Min, 1));
  const auto Most = static_cast<double>(Spec.Max);
  return static_cast<int64_t>(std::clamp(std::floor(Number), Least, Most));
}

/// Assigns a value, or what is used in its place.
void assignOrReplace(const SettingSpec &Spec, const GivenValue &Given,
                     SettingsDraft &Draft) {
  if (!assign(Spec, Given, Draft).has_value())
    return;
  std::string Used(Spec.Default == NoDefault ? "" : Spec.Default);
  if (const auto Number = nearestNumber(Spec, Given.Value))
    Used = concat(*Number);
  Draft.noteReplaced(Spec, Given.Value, Used);
  if (Spec.Default != NoDefault)
    (void)assign(Spec, GivenValue{Used, Given.Place}, Draft);
}

/// Sets the member of one row to the given value or to its default.
Fault fillSetting(std::string_view FileName, const SettingSpec &Spec,
                  const GivenValues &Values, SettingsDraft &Draft) {
  const GivenValue *Given = findValue(Values, Spec);
  if (isReplaceable(Spec, Draft.Common.Role)) {
    const bool HasDefault = Spec.Default != NoDefault;
    const std::string Default(HasDefault ? Spec.Default : "");
    assignOrReplace(Spec, Given != nullptr ? *Given : GivenValue{Default, ""},
                    Draft);
    return {};
  }
  if (Given != nullptr)
    return assign(Spec, *Given, Draft);
  if (Spec.Default == NoDefault)
    return Error{ErrorKind::BadSetting,
                 concat(FileName, ": ", settingName(Spec), " is missing"),
                 concat("add \"", Spec.Name, " = ...\" to [", Spec.Section,
                        "]: ", Spec.Help)};
  return assign(Spec, GivenValue{std::string(Spec.Default), "default: "},
                Draft);
}

/// @return the error for a setting that the role does not use.
Error wrongRole(const GivenValue &Given, const SettingSpec &Spec,
                std::string_view Role) {
  return badValue(Spec, Given, concat("is not for the role ", Role),
                  "remove the line, or correct [process] role");
}

/// Sets every member that the role uses; adds errors to Faults.
void fillAll(std::string_view FileName, const GivenValues &Values,
             SettingsDraft &Draft, std::vector<Error> &Faults) {
  for (const SettingSpec &Spec : SettingsTable) {
    const GivenValue *Given = findValue(Values, Spec);
    if (!isUsedByRole(Spec, Draft.Common.Role)) {
      if (Given != nullptr && !Draft.Common.Role.empty())
        Faults.push_back(wrongRole(*Given, Spec, Draft.Common.Role));
      continue;
    }
    if (Fault Problem = fillSetting(FileName, Spec, Values, Draft))
      Faults.push_back(std::move(*Problem));
  }
}

/// Replaces a number of seconds that is none, or out of range, by the default.
void replaceBadSeconds(std::string_view Section, std::string_view Name,
                       double Least, std::string &Value, SettingsDraft &Draft) {
  constexpr double Most = 86'400;
  double Number = 0;
  if (absl::SimpleAtod(toAbsl(Value), &Number) && Number >= Least &&
      Number <= Most)
    return;
  const SettingSpec &Spec = *findSetting(Section, Name);
  if (Value == Spec.Default)
    return;
  Draft.noteReplaced(Spec, Value, Spec.Default);
  Value = Spec.Default;
}

/// Completes the settings of a gateway or loader.
void completeDraft(SettingsDraft &Draft) {
  constexpr double LeastGrace = 0.001;
  CommonSettings &Common = Draft.Common;
  if (Common.Role != "gateway" && Common.Role != "loader")
    return;
  // Members of a group are told apart by their host.
  if (Common.Host.empty())
    Common.Host = formatAddress(Common.ListenLinks);
  replaceBadSeconds("duties", "usage_window_s", 1, Common.UsageWindowSeconds,
                    Draft);
  if (Common.Role == "gateway")
    replaceBadSeconds("gateway", "grace_s", LeastGrace,
                      Draft.Gateway.GraceSeconds, Draft);
}

/// Checks the settings against each other; adds errors to Faults.
void crossCheck(std::string_view FileName, const SettingsDraft &Draft,
                std::vector<Error> &Faults) {
  const auto Add = [&](std::string_view Message, std::string_view Remedy) {
    Faults.push_back(Error{ErrorKind::BadSetting,
                           concat(FileName, ": ", Message),
                           std::string(Remedy)});
  };
  const CommonSettings &Common = Draft.Common;
  if (Common.LinkSilence < Common.Heartbeat * 2)
    Add("[intervals] link_silence_ms is below two heartbeats",
        "raise it to at least twice heartbeat_ms");
  if (Common.Role == "entry" && Common.LogService.Port == 0)
    Add("[platform] log is missing", "an entry needs the log's address");
  if (Common.Role == "entry" && Common.HostList.Port == 0)
    Add("[platform] host_list is missing",
        "an entry needs the host list's address");
  double Window = 0;
  if (!Common.UsageWindowSeconds.empty() &&
      (!absl::SimpleAtod(toAbsl(Common.UsageWindowSeconds), &Window) ||
       Window < 1))
    Add("[duties] usage_window_s is no number of seconds",
        "write one of at least 1");
  if (Draft.Agent.ShortReserve > Draft.Agent.Slots)
    Add("[endpoint] short_reserve is above slots",
        "keep short_reserve below slots");
}

} // namespace

SettingsResult parseSettings(std::string_view FileName, std::string_view Text,
                             std::string_view Overrides) {
  GivenValues Values;
  std::vector<Error> Faults;
  addFileValues(FileName, Text, Values, Faults);
  addOverrides(Overrides, Values, Faults);
  SettingsDraft Draft;
  const auto Role = Values.find({"process", "role"});
  if (Role != Values.end())
    Draft.Common.Role = Role->second.Value;
  fillAll(FileName, Values, Draft, Faults);
  completeDraft(Draft);
  if (Faults.empty())
    crossCheck(FileName, Draft, Faults);
  if (!Faults.empty())
    return Faults;
  if (Draft.Common.Role == "entry") {
    Draft.Entry.Common = std::move(Draft.Common);
    return DaemonSettings(std::move(Draft.Entry));
  }
  if (Draft.Common.Role == "gateway") {
    Draft.Gateway.Common = std::move(Draft.Common);
    return DaemonSettings(std::move(Draft.Gateway));
  }
  if (Draft.Common.Role == "loader") {
    Draft.Loader.Common = std::move(Draft.Common);
    return DaemonSettings(std::move(Draft.Loader));
  }
  Draft.Agent.Common = std::move(Draft.Common);
  return DaemonSettings(std::move(Draft.Agent));
}

const CommonSettings &commonSettings(const DaemonSettings &Settings) {
  return std::visit(
      [](const auto &Role) -> const CommonSettings & { return Role.Common; },
      Settings);
}

CommonSettings &commonSettings(DaemonSettings &Settings) {
  return std::visit([](auto &Role) -> CommonSettings & { return Role.Common; },
                    Settings);
}

std::string renderFaults(const std::vector<Error> &Faults) {
  std::string Lines;
  for (const Error &Fault : Faults)
    Lines += concat(Fault.Message, "; ", Fault.Remedy, "\n");
  return Lines;
}

} // namespace camphornotch
