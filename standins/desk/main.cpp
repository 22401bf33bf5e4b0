/// @file
/// Stand-in for the load of one desk or portal.

#include "standins/desk/desk_task.h"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

DEFINE_int32(port, 7600, "port on the loopback address, for control");
DEFINE_string(name, "desk", "name");
DEFINE_string(model, "desk", "model that is asked");
DEFINE_string(services, "bench", "services, with commas between");
DEFINE_string(entries, "127.0.0.1:7200", "entries, with commas between");
DEFINE_double(rate, 20, "calls started a second");
DEFINE_int32(calls, 200, "calls in all");
DEFINE_int32(service_percent, 50, "in a hundred: calls to services");
DEFINE_int32(tokens, 16, "tokens of a completion");
DEFINE_int32(prompt_bytes, 120, "bytes of a prompt");
DEFINE_int32(give_up_percent, 20, "in a hundred: refused bookings given up");
DEFINE_int32(patience_ms, 60000, "longest time that a call is tried");
DEFINE_int64(seed, 1, "seeds the kinds of calls and the entries");

namespace {

/// @return the settings, from the flags.
camphornotch::standin::DeskSettings parseSettings() {
  camphornotch::standin::DeskSettings Settings;
  Settings.Name = FLAGS_name;
  Settings.Model = FLAGS_model;
  Settings.Services = absl::StrSplit(FLAGS_services, ',', absl::SkipEmpty());
  Settings.Rate = FLAGS_rate;
  Settings.Calls = FLAGS_calls;
  Settings.ServicePercent = FLAGS_service_percent;
  Settings.Tokens = FLAGS_tokens;
  Settings.PromptBytes = FLAGS_prompt_bytes;
  Settings.GiveUpPercent = FLAGS_give_up_percent;
  Settings.MaxRetryTime = camphornotch::Millis{FLAGS_patience_ms};
  Settings.Port = static_cast<uint16_t>(FLAGS_port);
  Settings.Seed = static_cast<uint64_t>(FLAGS_seed);
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
  const camphornotch::standin::DeskTask Desk(Loop, Entries, parseSettings());
  Loop.run();
  return 0;
}
