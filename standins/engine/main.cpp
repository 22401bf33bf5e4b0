/// @file
/// Stand-in for one or several model engines.

#include "standins/engine/engine_server.h"

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>
#include <memory>
#include <vector>

DEFINE_int32(port, 7300, "port on the loopback address; the first of --count");
DEFINE_int32(count, 1, "engines in this process, on consecutive ports");
DEFINE_string(name, "engine", "name; with --count a number is added");
DEFINE_string(model, "grind", "model that is served");
DEFINE_int32(slots, 16, "completions generated at once");
DEFINE_int32(token_micros, 2000, "microseconds a token");
DEFINE_int32(prefill_micros_per_byte, 10, "microseconds a byte not cached");
DEFINE_int32(cached_prompts, 64, "prompts whose prefix is cached");
DEFINE_int32(swap_ms, 100, "milliseconds without generation in a swap");
DEFINE_int32(load_lag_ms, 1000, "age of the load report");
DEFINE_bool(ignore_fence, false, "obey orders with an old fencing number");
DEFINE_int32(weights, 1, "version of the weights at the start");

namespace {

/// @param Index the engine's index in this process.
/// @return its settings, from the flags.
camphornotch::standin::EngineSettings parseSettings(int Index) {
  camphornotch::standin::EngineSettings Settings;
  Settings.Name =
      FLAGS_count == 1 ? FLAGS_name : absl::StrCat(FLAGS_name, "-", Index);
  Settings.Model = FLAGS_model;
  Settings.Slots = FLAGS_slots;
  Settings.TokenMicros = FLAGS_token_micros;
  Settings.PrefillMicrosPerByte = FLAGS_prefill_micros_per_byte;
  Settings.CachedPrompts = FLAGS_cached_prompts;
  Settings.SwapMs = FLAGS_swap_ms;
  Settings.LoadLagMs = FLAGS_load_lag_ms;
  Settings.IgnoreFence = FLAGS_ignore_fence;
  Settings.Version = FLAGS_weights;
  return Settings;
}

} // namespace

/// @return 0 after SIGTERM or SIGINT.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  camphornotch::Loop Loop;
  camphornotch::standin::endOnSignal(Loop);
  camphornotch::HttpClient Http(Loop);
  std::vector<std::unique_ptr<camphornotch::standin::EngineServer>> Engines;
  for (int Index = 0; Index < FLAGS_count; ++Index) {
    const auto Port = static_cast<uint16_t>(FLAGS_port + Index);
    Engines.push_back(std::make_unique<camphornotch::standin::EngineServer>(
        Loop, Http, Port, parseSettings(Index)));
  }
  Loop.run();
  return 0;
}
