/// @file
/// Names of group members, which contain the address for peer requests.

#ifndef CAMPHORNOTCH_CORE_STORE_MEMBER_FUNC_H
#define CAMPHORNOTCH_CORE_STORE_MEMBER_FUNC_H

#include "base/address_type.h"
#include "base/error_type.h"

#include <string>
#include <string_view>

namespace camphornotch {

/// @param PeerAddress where the process on the host accepts peer requests.
/// @return the member's name "HOST@IP:PORT", the same after a restart.
std::string memberName(std::string_view Host, const Address &PeerAddress);

/// @return where the member accepts peer requests, or what is wrong with its
///         name.
Result<Address> memberAddress(std::string_view Member);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_STORE_MEMBER_FUNC_H
