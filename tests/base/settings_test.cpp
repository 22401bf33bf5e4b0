/// @file
/// Tests of parsing settings.

#include "base/address_func.h"
#include "base/settings_func.h"

#include <criterion/criterion.h>
#include <fstream>
#include <sstream>

using namespace camphornotch;

namespace {

/// The minimal settings of an entry.
constexpr std::string_view EntryText = "[process]\n"
                                       "role = entry\n"
                                       "host = entry-a1\n"
                                       "data_centre = dc1\n"
                                       "region = r1\n"
                                       "[listen]\n"
                                       "links = 127.0.0.1:7001\n"
                                       "http = 127.0.0.1:8001\n"
                                       "[platform]\n"
                                       "log = 127.0.0.1:9001\n"
                                       "host_list = 127.0.0.1:9002\n";

/// @param Added lines to add to EntryText.
SettingsResult parseEntry(std::string_view Added,
                          std::string_view Overrides = "") {
  return parseSettings("entry.ini", std::string(EntryText) + std::string(Added),
                       Overrides);
}

/// @param Added lines to add to the settings of a gateway.
SettingsResult parseGateway(std::string_view Added) {
  constexpr std::string_view GatewayText =
      "[process]\nrole=gateway\nhost=g\ndata_centre=d\nregion=r\n"
      "[listen]\nlinks=127.0.0.1:1\nhttp=127.0.0.1:2\npeers=127.0.0.1:3\n"
      "[gateway]\nfront=127.0.0.1:4\nstore=127.0.0.1:5\n";
  return parseSettings("gateway.ini",
                       std::string(GatewayText) + std::string(Added), "");
}

/// @return whether an error of the outcome contains Part.
bool hasFault(const SettingsResult &Outcome, std::string_view Part) {
  return renderFaults(Outcome.error()).find(Part) != std::string::npos;
}

} // namespace

Test(parseSettings, smallest_entry_gets_defaults) {
  const SettingsResult Outcome = parseEntry("");
  cr_assert(Outcome.has_value());
  const auto &Entry = std::get<EntrySettings>(Outcome.value());
  cr_assert(Entry.Common.Heartbeat == Millis{1000});
  cr_assert(Entry.Common.ListenLinks == (Address{"127.0.0.1", 7001}));
  cr_assert(Entry.KeyShards == 16);
}

Test(parseSettings, agent_fills_endpoint) {
  const SettingsResult Outcome =
      parseSettings("agent.ini",
                    "[process]\nrole=agent\nhost=a\ndata_centre=d\nregion=r\n"
                    "[listen]\nlinks=127.0.0.1:1\nhttp=127.0.0.1:2\n"
                    "[endpoint]\nname=engine-1\nkind=engine\nserves=grind\n"
                    "address=127.0.0.1:3\nhonours_fencing=yes\n",
                    "");
  cr_assert(Outcome.has_value());
  const auto &Agent = std::get<AgentSettings>(Outcome.value());
  cr_assert(Agent.HonoursFencing);
  cr_assert(Agent.EndpointName == "engine-1");
}

Test(parseSettings, every_bad_line_is_reported_with_its_place) {
  const SettingsResult Outcome =
      parseEntry("[intervals]\nheartbeat_ms = fast\nlink_silence_ms = 1\n"
                 "[limits]\nno_such = 1\nnonsense\n");
  cr_assert(Outcome.has_error());
  cr_assert(Outcome.error().size() == 4);
  cr_assert(hasFault(Outcome, "entry.ini:13: [intervals] heartbeat_ms"));
  cr_assert(hasFault(Outcome, "whole number from 50 to 600000"));
  cr_assert(hasFault(Outcome, "entry.ini:16: [limits] no_such is not known"));
  cr_assert(hasFault(Outcome, "entry.ini:17: no \"=\" after the name"));
}

Test(parseSettings, missing_setting_names_what_to_add) {
  const SettingsResult Outcome = parseSettings("x.ini", "", "");
  cr_assert(Outcome.has_error());
  cr_assert(hasFault(Outcome, "x.ini: [process] role is missing"));
  cr_assert(hasFault(Outcome, "add \"role = ...\" to [process]"));
}

Test(parseSettings, setting_twice_is_refused) {
  cr_assert(hasFault(parseEntry("[process]\nhost = other\n"),
                     "entry.ini:13: [process] host is given twice"));
}

Test(parseSettings, setting_of_other_role_is_refused) {
  cr_assert(hasFault(parseEntry("[endpoint]\nslots = 3\n"),
                     "is not for the role entry"));
}

Test(parseSettings, contradiction_is_refused) {
  cr_assert(hasFault(parseEntry("[intervals]\nlink_silence_ms = 500\n"),
                     "below two heartbeats"));
}

Test(parseSettings, override_wins_over_file) {
  const SettingsResult Outcome =
      parseEntry("", "process.host=entry-b2, intervals.heartbeat_ms=100");
  cr_assert(Outcome.has_value());
  cr_assert(commonSettings(Outcome.value()).Host == "entry-b2");
  cr_assert(commonSettings(Outcome.value()).Heartbeat == Millis{100});
}

Test(parseSettings, bad_override_is_refused) {
  cr_assert(hasFault(parseEntry("", "heartbeat"), "write section.name=value"));
  cr_assert(hasFault(parseEntry("", "process.role=boss"),
                     "write one of entry|agent"));
}

// Guards against a process that does not start since the platform left out a
// value, or gave one of another form.
Test(parseSettings, valueOfThePlatformThatCannotBeUsed_isReplaced) {
  struct Example {
    std::string Line;
    int64_t Memory;
  };
  for (const Example &Each :
       {Example{"memory_mb =", 0}, Example{"memory_mb = 280.5", 280},
        Example{"memory_mb = 0.5", 1}, Example{"memory_mb = unlimited", 0},
        Example{"memory_mb = inf", 0}, Example{"memory_mb = nan", 0},
        Example{"memory_mb = -1", 0}, Example{"memory_mb = null", 0},
        Example{"memory_mb = 1e30", 1'048'576},
        Example{"memory_mb = 9223372036854775808", 1'048'576}}) {
    const SettingsResult Outcome =
        parseGateway("[limits]\n" + Each.Line + "\n");
    cr_assert(Outcome.has_value(), "%s", Each.Line.c_str());
    const CommonSettings &Common = commonSettings(Outcome.value());
    cr_expect_eq(Common.MemoryMb, Each.Memory, "%s", Each.Line.c_str());
    cr_expect_eq(Common.Replaced.size(), 1U, "%s", Each.Line.c_str());
  }
}

Test(parseSettings, emptyHostAndPlace_areReplaced) {
  const SettingsResult Outcome =
      parseSettings("gateway.ini",
                    "[process]\nrole=gateway\nhost=\ndata_centre=\nregion=\n"
                    "[listen]\nlinks=127.0.0.1:1\nhttp=127.0.0.1:2\n"
                    "peers=127.0.0.1:3\n"
                    "[gateway]\nfront=127.0.0.1:4\nstore=127.0.0.1:5\n"
                    "grace_s=\npartitions=\nrecord_bytes=\n"
                    "[duties]\nservice=none\nusage_window_s=soon\n",
                    "");
  cr_assert(Outcome.has_value());
  const auto &Gateway = std::get<GatewaySettings>(Outcome.value());
  cr_expect_str_eq(Gateway.Common.Host.c_str(), "127.0.0.1:1");
  cr_expect_str_eq(Gateway.GraceSeconds.c_str(), "8");
  cr_expect_eq(Gateway.Partitions, 12);
  cr_expect_eq(Gateway.RecordBytes, 262'144);
  cr_expect_eq(Gateway.Common.DutyService.Port, 0);
  cr_expect(Gateway.Common.UsageWindowSeconds.empty());
  cr_expect_eq(Gateway.Common.Replaced.size(), 8U);
}

Test(parseSettings, recordBytesBeyondAnyStore_areReplaced) {
  const SettingsResult Outcome =
      parseGateway("[gateway]\nrecord_bytes = 1180591620717411303424\n");
  cr_assert(Outcome.has_value());
  cr_assert_eq(std::get<GatewaySettings>(Outcome.value()).RecordBytes,
               1'048'576);
}

Test(parseSettings, graceThatIsNoNumberOfSeconds_isReplaced) {
  for (const char *Grace : {"inf", "nan", "-3", "0", "long", "1e300"}) {
    const SettingsResult Outcome =
        parseGateway(std::string("[gateway]\ngrace_s = ") + Grace + "\n");
    cr_assert(Outcome.has_value(), "%s", Grace);
    cr_expect_str_eq(
        std::get<GatewaySettings>(Outcome.value()).GraceSeconds.c_str(), "8");
  }
}

// Guards against a process that does not start where there are many data
// centres.
Test(parseSettings, sixtyDataCentres_areRead) {
  std::string Regions = "west-0=west";
  for (int Number = 1; Number < 60; ++Number)
    Regions += ", west-" + std::to_string(Number) + "=west";
  const SettingsResult Outcome =
      parseGateway("[gateway]\nregions = " + Regions + "\n");
  cr_assert(Outcome.has_value());
  cr_assert_str_eq(std::get<GatewaySettings>(Outcome.value()).Regions.c_str(),
                   Regions.c_str());
}

Test(parseSettings, badValuesOfAnEntry_areStillRefused) {
  cr_assert(hasFault(parseEntry("[limits]\nmemory_mb = 1.5\n"),
                     "is no whole number"));
}

Test(parseAddress, malformed_text_is_refused) {
  for (const auto *Text : {"", "host:1", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0",
                           "1.2.3.4:65536", "1.2.3:4"})
    cr_assert(parseAddress(Text).has_error(), "%s", Text);
  cr_assert(formatAddress(parseAddress("1.2.3.4:5").value()) == "1.2.3.4:5");
}

Test(renderSettingsPage, page_in_docs_is_current) {
  std::ifstream Page(CAMPHORNOTCH_SOURCE_DIR "/docs/settings.md");
  std::ostringstream Text;
  Text << Page.rdbuf();
  cr_assert(Text.str() == renderSettingsPage(),
            "run: camphornotchd --help_settings > docs/settings.md");
}
