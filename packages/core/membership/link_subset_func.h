/// @file
/// Chooses the hosts that an entry links to. All processes with the same set of
/// hosts compute the same links.

#ifndef CAMPHORNOTCH_CORE_MEMBERSHIP_LINK_SUBSET_FUNC_H
#define CAMPHORNOTCH_CORE_MEMBERSHIP_LINK_SUBSET_FUNC_H

#include "core/membership/membership_type.h"

#include <set>

namespace camphornotch {

/// Every entry links to all entries of its data centre and to RemoteLinks
/// entries of each other data centre. Each agent is linked by the
/// EntriesPerAgent entries of its data centre that rank first for it, or by all
/// if there are fewer.
/// @param Settings identifies this entry.
/// @param Members the hosts that are not gone.
/// @return the hosts that this entry links to.
std::set<HostId> wantedLinks(const MembershipSettings &Settings,
                             const std::map<HostId, MemberState> &Members);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_MEMBERSHIP_LINK_SUBSET_FUNC_H
