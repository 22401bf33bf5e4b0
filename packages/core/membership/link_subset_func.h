/// @file
/// Which hosts an entry links to: the same answer in every process that
/// believes the same hosts to be there.

#ifndef CAMPHORNOTCH_CORE_MEMBERSHIP_LINK_SUBSET_FUNC_H
#define CAMPHORNOTCH_CORE_MEMBERSHIP_LINK_SUBSET_FUNC_H

#include "core/membership/membership_type.h"

#include <set>

namespace camphornotch {

/// Every entry links to all entries of its data centre and to RemoteLinks
/// entries of each other one. Each agent is linked by the EntriesPerAgent
/// entries of its data centre that rank first for it; while there are no
/// more entries than that, by all.
/// @param Settings this entry, and the numbers.
/// @param Members the hosts that are not gone.
/// @return the hosts that this entry links to.
std::set<HostId> wantedLinks(const MembershipSettings &Settings,
                             const std::map<HostId, MemberState> &Members);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_MEMBERSHIP_LINK_SUBSET_FUNC_H
