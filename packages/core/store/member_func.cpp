/// @file
/// Names of a group's members, which say where the members answer peers.

#include "core/store/member_func.h"

#include "base/address_func.h"
#include "base/text_func.h"

namespace camphornotch {

namespace {

/// Stands between host and address.
constexpr char MemberMark = '@';

} // namespace

std::string memberName(std::string_view Host, const Address &Peers) {
  return concat(Host, std::string_view(&MemberMark, 1), formatAddress(Peers));
}

Result<Address> memberAddress(std::string_view Member) {
  const size_t Mark = Member.rfind(MemberMark);
  if (Mark == std::string_view::npos)
    return Error{ErrorKind::BadInput,
                 concat("member \"", Member, "\" names no address"),
                 "give all members of the group names HOST@IP:PORT"};
  return parseAddress(Member.substr(Mark + 1));
}

} // namespace camphornotch
