/// @file
/// The limit on the descriptors of the process.

#ifndef CAMPHORNOTCH_BASE_DESCRIPTOR_LIMIT_FUNC_H
#define CAMPHORNOTCH_BASE_DESCRIPTOR_LIMIT_FUNC_H

#include <cstdint>

namespace camphornotch {

/// Raises the limit of the process as far as it may itself. Hosts often start
/// programs with a lower one than they allow.
/// @param Wanted the descriptors to make use of; 0: as many as are allowed.
/// @return how many of them there are; Wanted if that is not known.
int64_t raiseDescriptorLimit(int64_t Wanted);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_DESCRIPTOR_LIMIT_FUNC_H
