/// @file
/// Tests of host states and of the choice of links.

#include "core/membership/link_subset_func.h"
#include "core/membership/membership_base.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

ListedHost listed(const std::string &Name, bool IsAgent,
                  const std::string &DataCentre = "dc1") {
  ListedHost Host;
  Host.Host = HostId{Name};
  Host.IsAgent = IsAgent;
  Host.DataCentre = DataCentreId{DataCentre};
  Host.LinkAddress = Address{"127.0.0.1", 7000};
  return Host;
}

/// Membership of an entry with one listed agent.
struct Fixture {
  HostId Agent{"agent"};
  MembershipController Members{
      MembershipSettings{HostId{"self"}, DataCentreId{"dc1"}}};

  Fixture() { this->list({listed("agent", true)}, 0); }

  /// Handles a new host list.
  /// @param Now in milliseconds.
  std::vector<MembershipAction> list(std::vector<ListedHost> Hosts,
                                     int64_t Now) {
    return this->Members.handle(HostsListed{std::move(Hosts)}, Millis{Now});
  }

  HostState state() const { return this->Members.stateOf(this->Agent); }
};

} // namespace

Test(membership, listed_agent_is_live_and_linked) {
  MembershipController Members{
      MembershipSettings{HostId{"self"}, DataCentreId{"dc1"}}};
  const auto Actions =
      Members.handle(HostsListed{{listed("agent", true)}}, Millis{0});
  cr_assert(std::holds_alternative<OpenLink>(Actions[1]));
  cr_assert(Members.stateOf(HostId{"agent"}) == HostState::Live);
}

Test(membership, listed_host_without_an_answer_stays_suspect) {
  Fixture Known;
  Known.Members.handle(MemberUp{Known.Agent}, Millis{1});
  Known.Members.handle(MemberDown{Known.Agent}, Millis{2});
  cr_assert(Known.state() == HostState::Suspect);
  Known.list({listed("agent", true)}, 3600000);
  cr_assert(Known.state() == HostState::Suspect);
  Known.Members.handle(MemberUp{Known.Agent}, Millis{3600001});
  cr_assert(Known.state() == HostState::Live);
}

Test(membership, unlisted_host_that_answers_stays) {
  Fixture Known;
  Known.Members.handle(MemberUp{Known.Agent}, Millis{1});
  Known.list({}, 2);
  Known.list({}, 3600000);
  cr_assert(Known.state() == HostState::Live);
}

Test(membership, unlisted_silent_host_is_gone_after_the_timeout) {
  Fixture Known;
  Known.Members.handle(MemberUp{Known.Agent}, Millis{1});
  Known.Members.handle(MemberDown{Known.Agent}, Millis{5});
  Known.list({}, 6);
  cr_assert(Known.state() == HostState::Suspect);
  cr_assert(Known.Members.nextDeadline() == Millis{10005});
  Known.Members.handle(MembershipTick{}, Millis{10005});
  cr_assert(Known.state() == HostState::Gone);
}

Test(membership, report_of_another_entry_keeps_a_host) {
  Fixture Known;
  Known.Members.handle(MemberDown{Known.Agent}, Millis{1});
  Known.list({}, 2);
  Known.Members.handle(ReachabilityReported{HostId{"other"}, {Known.Agent}},
                       Millis{9000});
  Known.Members.handle(MembershipTick{}, Millis{10005});
  cr_assert(Known.state() == HostState::Suspect);
  cr_assert(Known.Members.reachedByOther(Known.Agent, Millis{10005}));
  Known.Members.handle(MembershipTick{}, Millis{19000});
  cr_assert(Known.state() == HostState::Gone);
}

Test(membership, leaving_from_any_source_overrides_live) {
  Fixture Known;
  Known.Members.handle(MemberUp{Known.Agent}, Millis{1});
  Known.Members.handle(LeavingReported{Known.Agent, true}, Millis{2});
  cr_assert(Known.state() == HostState::Leaving);
  Known.Members.handle(LeavingReported{Known.Agent, false}, Millis{3});
  Known.Members.handle(DrainsOrdered{{Known.Agent}}, Millis{4});
  cr_assert(Known.state() == HostState::Leaving);
  Known.Members.handle(DrainsOrdered{}, Millis{5});
  ListedHost Host = listed("agent", true);
  Host.Leaving = true;
  Known.list({Host}, 6);
  cr_assert(Known.state() == HostState::Leaving);
}

Test(membership, drain_order_before_the_list_is_applied) {
  MembershipController Members{
      MembershipSettings{HostId{"self"}, DataCentreId{"dc1"}}};
  Members.handle(DrainsOrdered{{HostId{"agent"}}}, Millis{0});
  Members.handle(HostsListed{{listed("agent", true)}}, Millis{1});
  cr_assert(Members.stateOf(HostId{"agent"}) == HostState::Leaving);
}

Test(membership, moved_host_is_linked_at_its_new_address) {
  Fixture Known;
  Known.Members.handle(MemberUp{Known.Agent}, Millis{1});
  ListedHost Host = listed("agent", true);
  Host.LinkAddress.Port = 7001;
  const auto Actions = Known.list({Host}, 2);
  cr_assert(std::get<CloseLink>(Actions.front()).LinkAddress.Port == 7000);
  cr_assert(std::get<OpenLink>(Actions.back()).LinkAddress.Port == 7001);
}

Test(membership, empty_list_closes_no_link_to_answering_hosts) {
  Fixture Known;
  Known.Members.handle(MemberUp{Known.Agent}, Millis{1});
  for (const MembershipAction &Action : Known.list({}, 2))
    cr_assert(!std::holds_alternative<CloseLink>(Action));
}

Test(wantedLinks, each_agent_gets_enough_entries_and_no_more) {
  const bool Holds = rc::check([] {
    const int Entries = *rc::gen::inRange(1, 30);
    const int Agents = *rc::gen::inRange(1, 100);
    std::vector<ListedHost> Hosts;
    Hosts.reserve(Entries + Agents + 1);
    for (int Index = 0; Index < Entries; ++Index)
      Hosts.push_back(listed("entry-" + std::to_string(Index), false));
    for (int Index = 0; Index < Agents; ++Index)
      Hosts.push_back(listed("agent-" + std::to_string(Index), true));
    Hosts.push_back(listed("far-agent", true, "dc2"));
    std::map<HostId, int> Links;
    for (int Index = 0; Index < Entries; ++Index) {
      MembershipController Members{
          MembershipSettings{Hosts[Index].Host, DataCentreId{"dc1"}}};
      for (const auto &Action : Members.handle(HostsListed{Hosts}, Millis{0}))
        if (const auto *Open = std::get_if<OpenLink>(&Action))
          ++Links[Open->Host];
    }
    for (const ListedHost &Host : Hosts) {
      if (Host.DataCentre != DataCentreId{"dc1"})
        RC_ASSERT(Links[Host.Host] == 0);
      else if (Host.IsAgent)
        RC_ASSERT(Links[Host.Host] == std::min(Entries, 3));
      else
        RC_ASSERT(Links[Host.Host] == Entries - 1);
    }
  });
  cr_assert(Holds);
}

Test(wantedLinks, two_entries_of_a_remote_centre_are_linked) {
  std::vector<ListedHost> Hosts;
  Hosts.reserve(10);
  for (int Index = 0; Index < 10; ++Index)
    Hosts.push_back(listed("far-" + std::to_string(Index), false, "dc2"));
  MembershipController Members{
      MembershipSettings{HostId{"self"}, DataCentreId{"dc1"}}};
  int Opened = 0;
  for (const auto &Action : Members.handle(HostsListed{Hosts}, Millis{0}))
    Opened += std::holds_alternative<OpenLink>(Action) ? 1 : 0;
  cr_assert(Opened == 2);
}
