/// @file
/// Names of members that say where they answer peers.

#include "core/store/member_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

Test(memberName, addressInIt_isReadBack) {
  const Address Where{"10.0.0.7", 7675};
  cr_assert(memberName("gateway-1", Where) == "gateway-1@10.0.0.7:7675");
  cr_assert(memberAddress(memberName("gateway-1", Where)).value() == Where);
  cr_assert(memberAddress(memberName("a@b", Where)).value() == Where);
}

Test(memberAddress, nameWithoutAddress_isAnError) {
  for (const char *Name : {"", "gateway-1", "gateway-1@", "@", "g@10.0.0.7",
                           "g@10.0.0.7:0", "g@host:7", "g@10.0.0.7:70000"})
    cr_assert(memberAddress(Name).has_error(), "%s", Name);
}
