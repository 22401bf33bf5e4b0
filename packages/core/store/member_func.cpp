/// @file
/// Names of group members, which contain the address for peer requests.

#include "core/store/member_func.h"

#include "base/address_func.h"
#include "base/text_func.h"

namespace camphornotch {

namespace {

/// Separates host and address in a member's name.
constexpr char AddressSeparator = '@';

} // namespace

std::string memberName(std::string_view Host, const Address &PeerAddress) {
  return concat(Host, std::string_view(&AddressSeparator, 1),
                formatAddress(PeerAddress));
}

Result<Address> memberAddress(std::string_view Member) {
  const size_t Separator = Member.rfind(AddressSeparator);
  if (Separator == std::string_view::npos)
    return Error{ErrorKind::BadInput,
                 concat("member name \"", Member, "\" contains no address"),
                 "name every member of the group HOST@IP:PORT"};
  return parseAddress(Member.substr(Separator + 1));
}

} // namespace camphornotch
