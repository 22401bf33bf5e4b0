/// @file
/// Stand-in for one trainer.

#include "standins/trainer/trainer_task.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 7500, "port on the loopback address, for control");
DEFINE_string(name, "point-angle", "name");
DEFINE_string(model, "grind", "model that is sampled from");
DEFINE_string(entries, "127.0.0.1:7200", "entries, with commas between");
DEFINE_string(store, "127.0.0.1:7002", "weight store");
DEFINE_int32(steps, 3, "steps");
DEFINE_int32(groups, 8, "groups a step");
DEFINE_int32(samples, 4, "samples a group");
DEFINE_int32(max_tokens, 2000, "most tokens of a sample");
DEFINE_int32(usual_tokens, 64, "usual tokens of a sample");
DEFINE_int32(long_groups, 0, "in a thousand: groups ten times as long");
DEFINE_int32(prompt_bytes, 200, "bytes of a prompt");
DEFINE_string(scorer, "", "service that scores; empty: none");
DEFINE_int32(age_bound, 4, "most versions that a sample may be behind");
DEFINE_int32(train_ms, 300, "time to train on a whole step");
DEFINE_int32(ahead, 1, "steps submitted before the present one is whole");
DEFINE_bool(announce, false, "announce new weights after each step");
DEFINE_int64(seed, 1, "seeds the choice of entries");

namespace {

/// @return the settings, from the flags.
camphornotch::standin::TrainerSettings parseSettings() {
  camphornotch::standin::TrainerSettings Settings;
  Settings.Name = FLAGS_name;
  Settings.Model = FLAGS_model;
  Settings.Steps = FLAGS_steps;
  Settings.Groups = FLAGS_groups;
  Settings.Samples = FLAGS_samples;
  Settings.MaxTokens = FLAGS_max_tokens;
  Settings.UsualTokens = FLAGS_usual_tokens;
  Settings.LongGroups = FLAGS_long_groups;
  Settings.PromptBytes = FLAGS_prompt_bytes;
  Settings.Scorer = FLAGS_scorer;
  Settings.MaxAge = FLAGS_age_bound;
  Settings.TrainTime = camphornotch::Millis{FLAGS_train_ms};
  Settings.StepsAhead = FLAGS_ahead;
  Settings.AnnounceWeights = FLAGS_announce;
  Settings.Port = static_cast<uint16_t>(FLAGS_port);
  if (const auto Store = camphornotch::parseTarget(FLAGS_store)) {
    Settings.Store = Store.value();
  }
  return Settings;
}

} // namespace

/// @return 0 after SIGTERM.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  camphornotch::Loop Loop;
  camphornotch::standin::endOnSignal(Loop);
  camphornotch::HttpClient Http(Loop);
  camphornotch::standin::EntryCaller Entries(
      Loop, Http, FLAGS_entries, FLAGS_name, static_cast<uint64_t>(FLAGS_seed));
  const camphornotch::standin::TrainerTask Trainer(Loop, Http, Entries,
                                                   parseSettings());
  Loop.run();
  return 0;
}
