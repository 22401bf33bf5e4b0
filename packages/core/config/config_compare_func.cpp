/// @file
/// Compares two versions of a published configuration.

#include "core/config/config_check_func.h"

#include "base/text_func.h"

#include <algorithm>
#include <map>
#include <set>

namespace camphornotch {

namespace {

/// The members of one entry as text, by name.
using Fields = std::map<std::string, std::string>;
/// Entries by what they are called.
using Entries = std::map<std::string, Fields>;

std::string yesNo(bool Value) { return Value ? "true" : "false"; }

/// @return the kind's word in the configuration.
std::string kindName(RouteKind Kind) {
  switch (Kind) {
  case RouteKind::Idempotent:
    return "safe";
  case RouteKind::AtMostOnce:
    return "unsafe";
  case RouteKind::Stream:
    return "streaming";
  case RouteKind::Rollout:
    return "rollout";
  }
  return "";
}

Fields fieldsOf(const Route &Each) {
  std::string Shares;
  for (const ServiceShare &Share : Each.Services)
    Shares +=
        concat(Shares.empty() ? "" : " ", Share.Service, ":", Share.Weight);
  return Fields{{"name", Each.Name},
                {"kind", kindName(Each.Kind)},
                {"timeout_ms", concat(Each.Timeout.Count)},
                {"target_latency_ms", concat(Each.Objective.Count)},
                {"priority", concat(Each.Priority)},
                {"services", Shares},
                {"attempts", concat(Each.Attempts)},
                {"resumable", yesNo(Each.Resumable)},
                {"single_version", yesNo(Each.SingleVersion)},
                {"result_due_ms", concat(Each.ResultDue.Count)},
                {"retention_s", concat(Each.Retention.Count / 1'000)},
                {"public", yesNo(Each.Public)}};
}

Fields fieldsOf(const CheckedService &Each) {
  Fields Out{{"connection_limit", concat(Each.Info.ConnectionLimit)}};
  if (Each.MaxEndpoints.has_value())
    Out["scaling.maximum"] = concat(*Each.MaxEndpoints);
  if (!Each.Info.Engine.has_value())
    return Out;
  Out["engine.slots"] = concat(Each.Info.Engine->Slots);
  for (const std::string &Model : Each.Info.Engine->Models)
    Out["engine.models"] +=
        concat(Out["engine.models"].empty() ? "" : " ", Model);
  return Out;
}

/// @return all entries but the accounts. Of several entries with one name the
///   first counts, as it does for gateways.
Entries entriesOf(const ConfigDocument &Document) {
  Entries All;
  for (const Route &Each : Document.Routes)
    All.try_emplace(concat("route ", Each.Host, Each.Prefix), fieldsOf(Each));
  for (const CheckedService &Each : Document.Services)
    All.try_emplace(concat("service ", Each.Info.Name), fieldsOf(Each));
  const CallerLimits &Limits = Document.Limits;
  All["limits"] =
      Fields{{"header_bytes", concat(Limits.HeaderBytes)},
             {"body_bytes", concat(Limits.BodyBytes)},
             {"header_timeout_ms", concat(Limits.HeaderTimeout.Count)},
             {"idle_timeout_ms", concat(Limits.IdleTimeout.Count)}};
  for (const CheckedAccount &Each : Document.Accounts) {
    const auto Priority = Each.Info.Priority;
    All.try_emplace(concat("account ", Each.Info.Name),
                    Fields{{"priority", Priority.has_value() ? concat(*Priority)
                                                             : "none"}});
  }
  return All;
}

/// @return digests of the keys of each account.
std::map<std::string, std::set<KeyDigest>>
keysOf(const ConfigDocument &Document) {
  std::map<std::string, std::set<KeyDigest>> Keys;
  for (const CheckedAccount &Each : Document.Accounts)
    Keys[concat("account ", Each.Info.Name)].insert(Each.Keys.begin(),
                                                    Each.Keys.end());
  return Keys;
}

void addDifference(std::vector<ConfigFinding> &All, FindingKind Kind,
                   const std::string &Entry, std::string Text) {
  All.push_back(
      ConfigFinding{FindingLevel::Difference, Kind, Entry, std::move(Text)});
}

void compareFields(const std::string &Entry, const Fields &Before,
                   const Fields &After, std::vector<ConfigFinding> &All) {
  std::set<std::string> Names;
  for (const auto &[Name, Value] : Before)
    Names.insert(Name);
  for (const auto &[Name, Value] : After)
    Names.insert(Name);
  const auto ValueOf = [](const Fields &Of, const std::string &Name) {
    const auto Found = Of.find(Name);
    return Found == Of.end() || Found->second.empty() ? std::string("none")
                                                      : Found->second;
  };
  for (const std::string &Name : Names) {
    const std::string Old = ValueOf(Before, Name);
    const std::string New = ValueOf(After, Name);
    if (Old != New)
      addDifference(All, FindingKind::Changed, Entry,
                    concat("changes ", Name, " from ", Old, " to ", New));
  }
}

/// Compares keys by their digests, and says only how many differ.
void compareKeys(const std::string &Entry, const std::set<KeyDigest> &Before,
                 const std::set<KeyDigest> &After,
                 std::vector<ConfigFinding> &All) {
  const auto CountMissing = [](const std::set<KeyDigest> &Of,
                               const std::set<KeyDigest> &In) {
    return std::ranges::count_if(
        Of, [&In](const KeyDigest &Key) { return !In.contains(Key); });
  };
  const auto Added = CountMissing(After, Before);
  const auto Removed = CountMissing(Before, After);
  if (Added + Removed > 0)
    addDifference(
        All, FindingKind::Changed, Entry,
        concat("changes its keys: ", Added, " added, ", Removed, " removed"));
}

} // namespace

std::vector<ConfigFinding> compareConfigs(const ConfigDocument &Before,
                                          const ConfigDocument &After) {
  std::vector<ConfigFinding> All;
  if (After.Version.value_or(0) <= Before.Version.value_or(0))
    All.push_back(ConfigFinding{
        FindingLevel::Error, FindingKind::VersionNotHigher, "configuration",
        concat("has version ", After.Version.value_or(0),
               ", not above the other's ", Before.Version.value_or(0))});
  const Entries Old = entriesOf(Before);
  const Entries New = entriesOf(After);
  auto OldKeys = keysOf(Before);
  auto NewKeys = keysOf(After);
  for (const auto &[Entry, Was] : Old) {
    const auto Now = New.find(Entry);
    if (Now == New.end()) {
      addDifference(All, FindingKind::Removed, Entry, "is removed");
      continue;
    }
    compareFields(Entry, Was, Now->second, All);
    compareKeys(Entry, OldKeys[Entry], NewKeys[Entry], All);
  }
  for (const auto &[Entry, Now] : New)
    if (!Old.contains(Entry))
      addDifference(All, FindingKind::Added, Entry, "is added");
  return All;
}

} // namespace camphornotch
