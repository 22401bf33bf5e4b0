/// @file
/// Names of a group's members, which say where the members answer peers.

#ifndef CAMPHORNOTCH_CORE_STORE_MEMBER_FUNC_H
#define CAMPHORNOTCH_CORE_STORE_MEMBER_FUNC_H

#include "base/address_type.h"
#include "base/error_type.h"

#include <string>
#include <string_view>

namespace camphornotch {

/// @param Host a host's name.
/// @param Peers where the process on it answers peers.
/// @return the member's name, the same after a restart: "HOST@IP:PORT".
std::string memberName(std::string_view Host, const Address &Peers);

/// @param Member a member's name.
/// @return where the member answers peers, or what is wrong with the name.
Result<Address> memberAddress(std::string_view Member);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_STORE_MEMBER_FUNC_H
