/// @file
/// The limit on the descriptors of the process.

#include "base/descriptor_limit_func.h"

#include <algorithm>
#include <sys/resource.h>

namespace camphornotch {

int64_t raiseDescriptorLimit(int64_t Wanted) {
  rlimit Limit = {};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return Wanted;
  const rlim_t Before = Limit.rlim_cur;
  Limit.rlim_cur = Limit.rlim_max;
  if (Wanted > 0)
    Limit.rlim_cur =
        std::min(Limit.rlim_max, std::max(Before, static_cast<rlim_t>(Wanted)));
  if (setrlimit(RLIMIT_NOFILE, &Limit) != 0)
    Limit.rlim_cur = Before;
  return static_cast<int64_t>(
      std::min(static_cast<rlim_t>(Wanted), Limit.rlim_cur));
}

} // namespace camphornotch
