/// @file
/// Checks a published configuration.

#include "core/config/config_check_func.h"

#include "base/text_func.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace camphornotch {

namespace {

using Findings = std::vector<ConfigFinding>;

void addError(Findings &All, FindingKind Kind, std::string Entry,
              std::string Text) {
  All.push_back(ConfigFinding{FindingLevel::Error, Kind, std::move(Entry),
                              std::move(Text)});
}

void addWarning(Findings &All, FindingKind Kind, std::string Entry,
                std::string Text) {
  All.push_back(ConfigFinding{FindingLevel::Warning, Kind, std::move(Entry),
                              std::move(Text)});
}

/// @return "route NAME", or its host and prefix where it has no name.
std::string nameOf(const Route &Each) {
  return concat("route ",
                Each.Name.empty() ? concat(Each.Host, Each.Prefix) : Each.Name);
}

/// @return a service's most endpoints, if all of the route's services that get
///   requests say them.
std::optional<int64_t> mostEndpoints(const ConfigDocument &Document,
                                     const Route &Each) {
  int64_t Sum = 0;
  for (const ServiceShare &Share : Each.Services) {
    const auto Service = std::ranges::find_if(
        Document.Services, [&Share](const CheckedService &Known) {
          return Known.Info.Name == Share.Service;
        });
    if (Service == Document.Services.end() ||
        !Service->MaxEndpoints.has_value())
      return std::nullopt;
    Sum += Share.Weight > 0 ? *Service->MaxEndpoints : 0;
  }
  return Each.Services.empty() ? std::nullopt : std::optional(Sum);
}

void checkMatch(const ConfigDocument &Document, const Route &Each,
                Findings &All) {
  for (const Route &Earlier : Document.Routes) {
    if (&Earlier == &Each)
      break;
    if (Earlier.Host != Each.Host || Earlier.Prefix != Each.Prefix)
      continue;
    addWarning(All, FindingKind::HiddenRoute, nameOf(Each),
               concat("never matches: ", nameOf(Earlier),
                      " has the same host and prefix"));
    break;
  }
  if (Each.Host.find(':') != std::string::npos)
    addWarning(All, FindingKind::UnmatchableRoute, nameOf(Each),
               "never matches: hosts are compared without their port");
  if (!Each.Prefix.empty() && !Each.Prefix.starts_with('/'))
    addWarning(All, FindingKind::UnmatchableRoute, nameOf(Each),
               "never matches: its prefix does not begin with a slash");
}

void checkShares(const ConfigDocument &Document, const Route &Each,
                 Findings &All) {
  if (Each.Services.empty())
    addError(All, FindingKind::RouteWithoutService, nameOf(Each),
             "has no service");
  for (const ServiceShare &Share : Each.Services) {
    if (std::ranges::none_of(Document.Services,
                             [&Share](const CheckedService &Known) {
                               return Known.Info.Name == Share.Service;
                             }))
      addError(
          All, FindingKind::UnknownService, nameOf(Each),
          concat("names service ", Share.Service, ", which is not configured"));
    if (Share.Weight <= 0)
      addWarning(All, FindingKind::ShareWithoutWeight, nameOf(Each),
                 concat("sends nothing to service ", Share.Service,
                        ": its weight is ", Share.Weight));
  }
}

void checkRoute(const ConfigDocument &Document, const Route &Each,
                Findings &All) {
  checkMatch(Document, Each, All);
  checkShares(Document, Each, All);
  if (Each.Timeout > Millis{0} && Each.Objective > Each.Timeout)
    addWarning(All, FindingKind::ObjectiveOverTimeout, nameOf(Each),
               concat("has target_latency_ms ", Each.Objective.Count,
                      " over its timeout_ms ", Each.Timeout.Count));
  const std::optional<int64_t> Endpoints = mostEndpoints(Document, Each);
  if (Endpoints.has_value() && Each.Attempts > *Endpoints)
    addWarning(All, FindingKind::AttemptsOverEndpoints, nameOf(Each),
               concat("allows ", Each.Attempts, " attempts at ", *Endpoints,
                      " endpoints"));
}

void checkServices(const ConfigDocument &Document, Findings &All) {
  std::set<std::string_view> Names;
  for (const CheckedService &Each : Document.Services)
    if (!Names.insert(Each.Info.Name).second)
      addWarning(All, FindingKind::RepeatedService,
                 concat("service ", Each.Info.Name),
                 "is listed again; the first entry applies");
}

void checkLimits(const CallerLimits &Limits, Findings &All) {
  if (Limits.BodyBytes > 0 && Limits.HeaderBytes > Limits.BodyBytes)
    addWarning(All, FindingKind::HeaderLimitOverBodyLimit, "limits",
               concat("have header_bytes ", Limits.HeaderBytes,
                      " over body_bytes ", Limits.BodyBytes));
  if (Limits.IdleTimeout > Millis{0} &&
      Limits.HeaderTimeout > Limits.IdleTimeout)
    addWarning(All, FindingKind::HeaderTimeoutOverIdleTimeout, "limits",
               concat("have header_timeout_ms ", Limits.HeaderTimeout.Count,
                      " over idle_timeout_ms ", Limits.IdleTimeout.Count));
}

void checkAccounts(const ConfigDocument &Document, Findings &All) {
  std::map<std::string, size_t> KeysByName;
  for (const CheckedAccount &Each : Document.Accounts)
    KeysByName[Each.Info.Name] += Each.Keys.size();
  std::set<std::string> Names;
  std::map<KeyDigest, std::string> Holders;
  for (const CheckedAccount &Each : Document.Accounts) {
    const std::string Entry = concat("account ", Each.Info.Name);
    if (!Names.insert(Each.Info.Name).second)
      addWarning(All, FindingKind::RepeatedAccount, Entry,
                 "is listed again; its keys are added to the first entry");
    else if (KeysByName[Each.Info.Name] == 0)
      addWarning(All, FindingKind::AccountWithoutKeys, Entry,
                 "has no keys: no request can be its own");
    for (const KeyDigest &Key : Each.Keys) {
      const std::string &Holder =
          Holders.try_emplace(Key, Each.Info.Name).first->second;
      if (Holder != Each.Info.Name)
        addError(All, FindingKind::KeyOfTwoAccounts, Entry,
                 concat("has a key of account ", Holder, ", which keeps it"));
    }
  }
}

} // namespace

std::string_view levelName(FindingLevel Level) {
  switch (Level) {
  case FindingLevel::Error:
    return "error";
  case FindingLevel::Warning:
    return "warning";
  case FindingLevel::Difference:
    return "difference";
  }
  return "";
}

std::vector<ConfigFinding> checkConfig(const ConfigDocument &Document) {
  Findings All;
  if (Document.Version.value_or(0) <= 0)
    addError(All, FindingKind::MissingVersion, "configuration",
             "has no version above 0");
  for (const std::string &Place : Document.UnreadableEntries)
    addError(All, FindingKind::UnreadableEntry, Place,
             "cannot be read and is left out");
  for (const Route &Each : Document.Routes)
    checkRoute(Document, Each, All);
  checkServices(Document, All);
  checkLimits(Document.Limits, All);
  checkAccounts(Document, All);
  return All;
}

std::string renderFindings(std::span<const ConfigFinding> Findings) {
  std::string Text;
  for (const ConfigFinding &Each : Findings)
    Text +=
        concat(levelName(Each.Level), ": ", Each.Entry, " ", Each.Text, "\n");
  return Text;
}

int findingsExitCode(std::span<const ConfigFinding> Findings) {
  constexpr int WithErrors = 1;
  constexpr int WithWarnings = 2;
  const auto Has = [Findings](FindingLevel Level) {
    return std::ranges::find(Findings, Level, &ConfigFinding::Level) !=
           Findings.end();
  };
  if (Has(FindingLevel::Error))
    return WithErrors;
  return Has(FindingLevel::Warning) ? WithWarnings : 0;
}

} // namespace camphornotch
