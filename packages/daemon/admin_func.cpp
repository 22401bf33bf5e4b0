/// @file
/// Answers for operators.

#include "daemon/admin_func.h"

#include "rules/lookup_func.h"

#include <nlohmann/json.hpp>

namespace camphornotch {

namespace {

using nlohmann::json;

/// @param Value a JSON value.
/// @return its text; bytes that are no UTF-8 are replaced.
std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// @param State an endpoint.
/// @return its JSON.
json endpointJson(const EndpointState &State) {
  return json{{"endpoint", State.Info.Endpoint.Value},
              {"host", State.Info.Host.Value},
              {"serves", State.Info.Serves},
              {"data_centre", State.Info.DataCentre.Value},
              {"reachable", State.Reachable},
              {"leaving", State.Leaving},
              {"version", State.Load.Version},
              {"swapping", State.Load.Swapping},
              {"slots", State.Load.Slots},
              {"running", State.Load.Running},
              {"queued", State.Load.Queued},
              {"in_flight_here", State.InFlight},
              {"token_micros", State.Load.TokenMicros}};
}

/// @param View what is known.
/// @return the linked peers, with their endpoints.
json peersJson(const StatusView &View) {
  json Peers = json::array();
  for (const auto &[Host, Peer] : View.Peers) {
    json One{{"host", Host.Value},
             {"role", Peer.Hello.Role},
             {"boot", Peer.Hello.Boot},
             {"data_centre", Peer.Hello.DataCentre},
             {"config_offset", Peer.ConfigOffset}};
    const auto Index = View.Table.find(EndpointId{Peer.Hello.Endpoint});
    if (Index)
      One["endpoint"] = endpointJson(View.Table.at(*Index));
    Peers.push_back(std::move(One));
  }
  return Peers;
}

/// @param Fold the folded state.
/// @return who owns which shard.
json shardsJson(const LogFold &Fold) {
  json Shards = json::array();
  for (const auto &[Shard, Claim] : Fold.claims())
    Shards.push_back({{"shard", Shard.Value},
                      {"owner", Claim.Owner.Value},
                      {"epoch", Claim.Current.Value},
                      {"released", Claim.Released}});
  return Shards;
}

/// @param Fold the folded state.
/// @return the steps that are not done, by trainer.
json trainersJson(const LogFold &Fold) {
  json Trainers = json::object();
  const std::string Prefix = "trainer/";
  for (const auto &[Shard, Claim] : Fold.claims()) {
    if (!Shard.Value.starts_with(Prefix))
      continue;
    const std::string Name = Shard.Value.substr(Prefix.size());
    const TrainerState *State = Fold.trainer(TrainerId{Name});
    if (State == nullptr)
      continue;
    json Steps = json::array();
    for (const auto &[Step, Open] : State->Steps)
      Steps.push_back({{"step", Step},
                       {"groups", Open.Groups.size()},
                       {"delivered", Open.Delivered.size()}});
    Trainers[Name] = {{"open_steps", std::move(Steps)},
                      {"highest_done", State->HighestDone}};
  }
  return Trainers;
}

/// @param Source where a rule comes from.
/// @return its JSON.
json sourceJson(const RuleSource &Source) {
  return json{{"rule", Source.Name},
              {"line", Source.Line},
              {"asked_by", Source.AskedBy},
              {"text", Source.Text},
              {"default", Source.Line == 0}};
}

} // namespace

std::string renderStatus(const StatusView &View) {
  const AcceptedConfig &Config = View.Config;
  json Versions = json::object();
  for (const auto &[Model, Version] : View.Fold.versions())
    Versions[Model] = Version.Version.Value;
  json Quarantined = json::array();
  for (const auto &[Digest, State] : View.Fold.quarantined())
    if (!State.Released)
      Quarantined.push_back({{"digest", std::to_string(Digest)},
                             {"until_wall_ms", State.UntilWallMs},
                             {"evidence", State.Evidence}});
  return dump(
      json{{"host", View.Settings.Host},
           {"role", View.Settings.Role},
           {"boot", View.Boot.Value},
           {"data_centre", View.Settings.DataCentre},
           {"region", View.Settings.Region},
           {"ready", View.WhyNotReady.empty()},
           {"why_not_ready", View.WhyNotReady},
           {"config", {{"offset", Config.Offset.Value}, {"hash", Config.Hash}}},
           {"log",
            {{"reachable", View.LogReachable},
             {"applied", View.Fold.applied().Value},
             {"known", View.Fold.known()}}},
           {"peers", peersJson(View)},
           {"shards", shardsJson(View.Fold)},
           {"trainers", trainersJson(View.Fold)},
           {"versions", std::move(Versions)},
           {"quarantined", std::move(Quarantined)},
           {"rollouts",
            {{"sent", View.Rollouts.Sent},
             {"finished", View.Rollouts.Finished},
             {"moved", View.Rollouts.Moved},
             {"hedged", View.Rollouts.Hedged},
             {"retried", View.Rollouts.Retried}}}});
}

std::string renderExplain(const RuleSet &Rules, const ExplainRequest &Wanted) {
  json Answer = json::object();
  if (!Wanted.Caller.empty()) {
    Answer["limit"] = sourceJson(limitRule(Rules, Wanted.Caller).Source);
    Answer["priority"] = sourceJson(priorityRule(Rules, Wanted.Caller).Source);
  }
  if (!Wanted.Trainer.empty())
    Answer["trainer"] = sourceJson(trainerRule(Rules, Wanted.Trainer).Source);
  if (!Wanted.Service.empty()) {
    const std::string Method = Wanted.Method.empty() ? "GET" : Wanted.Method;
    const std::string Path = Wanted.Path.empty() ? "/" : Wanted.Path;
    Answer["service"] =
        sourceJson(serviceRule(Rules, Wanted.Service, Method, Path).Source);
    Answer["routing"] = sourceJson(routingRule(Rules, Wanted.Service).Source);
  }
  if (!Wanted.Model.empty()) {
    Answer["routing"] = sourceJson(routingRule(Rules, Wanted.Model).Source);
    Answer["weights"] = sourceJson(weightRule(Rules, Wanted.Model).Source);
    Answer["quarantine"] =
        sourceJson(quarantineRule(Rules, Wanted.Model).Source);
  }
  return dump(Answer);
}

} // namespace camphornotch
