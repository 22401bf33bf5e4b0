/// @file
/// Combines the host list, which lags, with the state of links.

#include "core/membership/membership_base.h"

#include "core/membership/link_subset_func.h"

#include <algorithm>
#include <array>

namespace camphornotch {

namespace {

/// @return the reason for its state, for the log.
std::string stateReason(const MemberState &Member) {
  if (Member.State == HostState::Gone)
    return "not listed, and no answer";
  if (Member.Drained)
    return "an operator ordered it to leave";
  if (Member.ReportsLeaving)
    return "the host reports that it is leaving";
  if (Member.State == HostState::Leaving)
    return "the host list marks it as leaving";
  if (Member.State == HostState::Suspect)
    return "no answer to this entry";
  return Member.Linked ? "it answers" : "listed";
}

} // namespace

MembershipController::MembershipController(MembershipSettings Settings)
    : Settings(std::move(Settings)) {}

std::vector<MembershipAction>
MembershipController::handle(const MembershipEvent &Event, Millis Now) {
  Actions Out;
  std::visit([&](const auto &Which) { this->on(Which, Now, Out); }, Event);
  if (this->LinksStale)
    this->relink(Out);
  const bool Changed =
      std::any_of(Out.begin(), Out.end(), [](const MembershipAction &Action) {
        return std::holds_alternative<MemberChanged>(Action);
      });
  if (!Changed && !this->LastLocalEntries.empty())
    return Out;
  std::vector<HostId> Entries = this->localEntries();
  if (Entries != this->LastLocalEntries) {
    this->LastLocalEntries = Entries;
    Out.push_back(LocalEntriesChanged{std::move(Entries)});
  }
  return Out;
}

void MembershipController::on(const HostsListed &Event, Millis Now,
                              Actions &Out) {
  for (auto &[Host, Member] : this->Members)
    Member.IsListed = false;
  for (const ListedHost &Listed : Event.Hosts)
    this->applyListed(Listed, Now, Out);
  this->updateStates(Now, Out);
}

void MembershipController::applyListed(const ListedHost &Listed, Millis Now,
                                       Actions &Out) {
  const auto [Place, IsNew] = this->Members.try_emplace(Listed.Host);
  MemberState &Member = Place->second;
  const bool Moved = Member.Listed.LinkAddress != Listed.LinkAddress ||
                     Member.Listed.DataCentre != Listed.DataCentre;
  this->LinksStale |= Moved;
  if (Moved && Member.LinkWanted) {
    Out.push_back(CloseLink{Listed.Host, Member.Listed.LinkAddress});
    Member.LinkWanted = false;
    Member.Linked = false;
    Member.LinkTried = false;
  }
  Member.Listed = Listed;
  Member.IsListed = true;
  Member.Drained = this->Drains.contains(Listed.Host);
  Member.LastSeen = Now;
  if (IsNew)
    Out.push_back(MemberChanged{Listed.Host, HostState::Gone, HostState::Live,
                                "listed for the first time"});
}

void MembershipController::on(const MemberUp &Event, Millis Now, Actions &Out) {
  const auto Found = this->Members.find(Event.Host);
  if (Found == this->Members.end())
    return;
  MemberState &Member = Found->second;
  Member.Linked = true;
  Member.LinkTried = true;
  Member.ReportsLeaving = false;
  Member.LastSeen = Now;
  this->updateState(Member, Now, Out);
}

void MembershipController::on(const MemberDown &Event, Millis Now,
                              Actions &Out) {
  const auto Found = this->Members.find(Event.Host);
  if (Found == this->Members.end())
    return;
  MemberState &Member = Found->second;
  if (Member.Linked)
    Member.LastSeen = Now;
  Member.Linked = false;
  Member.LinkTried = true;
  this->updateState(Member, Now, Out);
}

void MembershipController::on(const LeavingReported &Event, Millis Now,
                              Actions &Out) {
  const auto Found = this->Members.find(Event.Host);
  if (Found == this->Members.end())
    return;
  Found->second.ReportsLeaving = Event.Leaving;
  Found->second.LastSeen = Now;
  this->updateState(Found->second, Now, Out);
}

void MembershipController::on(const ReachabilityReported &Event, Millis Now,
                              Actions & /*Out*/) {
  for (const HostId &Host : Event.Reached) {
    const auto Found = this->Members.find(Host);
    if (Found == this->Members.end())
      continue;
    Found->second.ReachedByOtherAt = Now;
    Found->second.LastSeen = Now;
  }
}

void MembershipController::on(const DrainsOrdered &Event, Millis Now,
                              Actions &Out) {
  this->Drains = std::set<HostId>(Event.Hosts.begin(), Event.Hosts.end());
  for (auto &[Host, Member] : this->Members)
    Member.Drained = this->Drains.contains(Host);
  this->updateStates(Now, Out);
}

void MembershipController::on(const MembershipTick & /*Event*/, Millis Now,
                              Actions &Out) {
  if (this->Deadline <= Now)
    this->updateStates(Now, Out);
}

HostState MembershipController::computeState(const MemberState &Member,
                                             Millis Now) const {
  const bool Answers = Member.Linked;
  const Millis SilentFor = Now - Member.LastSeen;
  if (!Member.IsListed && !Answers && SilentFor >= this->Settings.GoneAfter)
    return HostState::Gone;
  if (Member.Drained || Member.ReportsLeaving || Member.Listed.Leaving)
    return HostState::Leaving;
  if (!Answers && (Member.LinkTried && Member.LinkWanted))
    return HostState::Suspect;
  if (!Answers && !Member.IsListed)
    return HostState::Suspect;
  return HostState::Live;
}

void MembershipController::updateState(MemberState &Member, Millis Now,
                                       Actions &Out) {
  const HostState NewState = this->computeState(Member, Now);
  if (!Member.IsListed && !Member.Linked && NewState != HostState::Gone)
    this->Deadline =
        std::min(this->Deadline, Member.LastSeen + this->Settings.GoneAfter);
  if (NewState == Member.State)
    return;
  const HostState OldState = Member.State;
  Member.State = NewState;
  Out.push_back(MemberChanged{Member.Listed.Host, OldState, NewState,
                              stateReason(Member)});
}

void MembershipController::updateStates(Millis Now, Actions &Out) {
  this->Deadline = Never;
  for (auto Place = this->Members.begin(); Place != this->Members.end();) {
    MemberState &Member = Place->second;
    this->updateState(Member, Now, Out);
    if (Member.State != HostState::Gone) {
      ++Place;
      continue;
    }
    if (Member.LinkWanted)
      Out.push_back(CloseLink{Place->first, Member.Listed.LinkAddress});
    Place = this->Members.erase(Place);
    this->LinksStale = true;
  }
}

void MembershipController::relink(Actions &Out) {
  this->LinksStale = false;
  const std::set<HostId> Wanted = wantedLinks(this->Settings, this->Members);
  for (auto &[Host, Member] : this->Members) {
    const bool Want = Wanted.contains(Host);
    if (Want == Member.LinkWanted)
      continue;
    Member.LinkWanted = Want;
    if (Want) {
      Out.push_back(OpenLink{Host, Member.Listed.LinkAddress});
      continue;
    }
    Member.LinkTried = false;
    Member.Linked = false;
    Out.push_back(CloseLink{Host, Member.Listed.LinkAddress});
  }
}

HostState MembershipController::stateOf(const HostId &Host) const {
  const auto Found = this->Members.find(Host);
  return Found == this->Members.end() ? HostState::Gone : Found->second.State;
}

bool MembershipController::reachedByOther(const HostId &Host,
                                          Millis Now) const {
  const auto Found = this->Members.find(Host);
  if (Found == this->Members.end() || Found->second.ReachedByOtherAt.Count < 0)
    return false;
  return Now - Found->second.ReachedByOtherAt < this->Settings.PeerReportMaxAge;
}

std::vector<HostId> MembershipController::reached() const {
  std::vector<HostId> Out;
  for (const auto &[Host, Member] : this->Members)
    if (Member.Linked)
      Out.push_back(Host);
  return Out;
}

std::vector<HostId> MembershipController::localEntries() const {
  std::vector<HostId> Out;
  for (const auto &[Host, Member] : this->Members)
    if (!Member.Listed.IsAgent && Member.State == HostState::Live &&
        Member.Listed.DataCentre == this->Settings.DataCentre &&
        Host != this->Settings.Self)
      Out.push_back(Host);
  Out.push_back(this->Settings.Self);
  std::sort(Out.begin(), Out.end());
  return Out;
}

std::string_view hostStateName(HostState State) {
  constexpr std::array<std::string_view, 4> Names{"live", "suspect", "leaving",
                                                  "gone"};
  return Names[static_cast<size_t>(State)];
}

} // namespace camphornotch
