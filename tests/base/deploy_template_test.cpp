/// @file
/// The settings templates of deploy/, filled for deployments of several sizes.

#include "base/settings_func.h"

#include <criterion/criterion.h>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

using namespace camphornotch;

namespace {

/// A machine's values by dotted name, as the platform gives them.
struct TemplateFixture {
  std::map<std::string, std::string> Values;
  /// Data centre and region.
  std::vector<std::pair<std::string, std::string>> Zones;

  /// @param ZoneCount number of data centres, in two regions.
  explicit TemplateFixture(int ZoneCount) {
    for (int Number = 0; Number < ZoneCount; ++Number)
      this->Zones.emplace_back("dc-" + std::to_string(Number),
                               Number % 2 == 0 ? "north" : "south");
    this->Values = {{"node", "host-1"},
                    {"zone", "dc-0"},
                    {"region", "north"},
                    {"ip_address", "10.1.0.41"},
                    {"internal_port_range.0", "7600"},
                    {"internal_port_range.1", "7615"},
                    {"listen.ready", "10.1.0.41:8625"},
                    {"listen.front", "10.1.0.41:8621"},
                    {"platform.address", "10.200.1.7:8627"},
                    {"platform.parts", "24"},
                    {"platform.record_bytes", "262144"},
                    {"bounds.grace_period_s", "8"},
                    {"app", "10.1.0.47:9000"},
                    // Empty on a deployment without duties.
                    {"cloud.address", ""},
                    {"bounds.report_window_s", ""},
                    {"service", "model"},
                    {"limits.memory_mb", "120"},
                    {"limits.file_descriptors", "3075"},
                    // Fields that the templates do not name.
                    {"bounds.a_new_bound_ms", "17"},
                    {"platform.a_new_limit", "many"},
                    {"a_new_table.a_new_field", "x=y"}};
  }

  /// @return the template with all its placeholders filled in.
  std::string fill(const std::string &Name) const {
    std::ifstream File(std::string(CAMPHORNOTCH_SOURCE_DIR) + "/deploy/" +
                       Name);
    std::stringstream Content;
    Content << File.rdbuf();
    std::string Text = Content.str();
    cr_assert_not(Text.empty());
    const std::string Section = "{{#zones}}{{@}}={{.}}{{,}} {{/zones}}";
    std::string Regions;
    for (const auto &[Zone, Region] : this->Zones)
      Regions.append(Zone).append("=").append(Region).append(
          Zone == this->Zones.back().first ? " " : ", ");
    if (const size_t At = Text.find(Section); At != std::string::npos)
      Text.replace(At, Section.size(), Regions);
    const std::regex Placeholder("\\{\\{([^}]*)\\}\\}");
    std::smatch Match;
    while (std::regex_search(Text, Match, Placeholder)) {
      const auto Value = this->Values.find(Match[1].str());
      cr_assert(Value != this->Values.end(), "no value for %s",
                Match[1].str().c_str());
      Text.replace(static_cast<size_t>(Match.position(0)),
                   static_cast<size_t>(Match.length(0)), Value->second);
    }
    return Text;
  }

  GatewaySettings gateway() const {
    const SettingsResult Outcome =
        parseSettings("gateway.ini", this->fill("gateway.ini.tmpl"), "");
    cr_assert(Outcome.has_value());
    return std::get<GatewaySettings>(Outcome.value());
  }
};

} // namespace

Test(deployTemplate, seventeenHostsInThreeZones_fillAGateway) {
  const GatewaySettings Gateway = TemplateFixture(3).gateway();
  cr_assert_str_eq(Gateway.Regions.c_str(),
                   "dc-0=north, dc-1=south, dc-2=north");
  cr_assert_eq(Gateway.Partitions, 24);
}

Test(deployTemplate, seventyFiveHostsInSixZones_fillAGateway) {
  TemplateFixture Site(6);
  Site.Values["bounds.grace_period_s"] = "7.5";
  const GatewaySettings Gateway = Site.gateway();
  cr_assert_str_eq(Gateway.GraceSeconds.c_str(), "7.5");
  cr_assert(Gateway.Front == (Address{"10.1.0.41", 8621}));
}

Test(deployTemplate, twoHundredHostsWithMorePartitions_fillAGateway) {
  TemplateFixture Site(6);
  Site.Values["node"] = "host-206";
  Site.Values["platform.parts"] = "48";
  Site.Values["platform.record_bytes"] = "1048576";
  const GatewaySettings Gateway = Site.gateway();
  cr_assert_str_eq(Gateway.Common.Host.c_str(), "host-206");
  cr_assert_eq(Gateway.Partitions, 48);
  cr_assert_eq(Gateway.RecordBytes, 1'048'576);
}

Test(deployTemplate, sideHost_fillsALoader) {
  const SettingsResult Outcome = parseSettings(
      "loader.ini", TemplateFixture(6).fill("loader.ini.tmpl"), "");
  cr_assert(Outcome.has_value());
  const auto &Loader = std::get<LoaderSettings>(Outcome.value());
  cr_assert(Loader.Engine == (Address{"10.1.0.47", 9000}));
  cr_assert_str_eq(Loader.EngineService.c_str(), "model");
}
