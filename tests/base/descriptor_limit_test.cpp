/// @file
/// Tests of the limit on the descriptors of the process.

#include "base/descriptor_limit_func.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

using namespace camphornotch;

namespace {

/// Sets the limits of this process, and returns the soft one after a raise.
rlim_t softLimitAfter(rlim_t Soft, rlim_t Hard, int64_t Wanted,
                      int64_t Expected) {
  const rlimit Given{Soft, Hard};
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &Given), 0);
  cr_expect_eq(raiseDescriptorLimit(Wanted), Expected);
  rlimit Now = {};
  getrlimit(RLIMIT_NOFILE, &Now);
  return Now.rlim_cur;
}

} // namespace

Test(descriptorLimit, softLimitBelowTheSettings_isRaisedToThem) {
  cr_expect_eq(softLimitAfter(256, 4096, 1000, 1000), 1000);
}

Test(descriptorLimit, hardLimitBelowTheSettings_isAllThereIs) {
  cr_expect_eq(softLimitAfter(256, 512, 1000, 512), 512);
}

Test(descriptorLimit, settingsWithoutALimit_getAllThatIsAllowed) {
  cr_expect_eq(softLimitAfter(256, 512, 0, 0), 512);
}
