/// @file
/// Names of group members, which contain the address for peer requests.

#include "core/store/member_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

Test(memberName, addressInName_isParsedBack) {
  const Address PeerAddress{"10.0.0.7", 7675};
  cr_assert(memberName("gateway-1", PeerAddress) == "gateway-1@10.0.0.7:7675");
  cr_assert(memberAddress(memberName("gateway-1", PeerAddress)).value() ==
            PeerAddress);
  cr_assert(memberAddress(memberName("a@b", PeerAddress)).value() ==
            PeerAddress);
}

Test(memberAddress, nameWithoutAddress_isAnError) {
  for (const char *Name : {"", "gateway-1", "gateway-1@", "@", "g@10.0.0.7",
                           "g@10.0.0.7:0", "g@host:7", "g@10.0.0.7:70000"})
    cr_assert(memberAddress(Name).has_error(), "%s", Name);
}
