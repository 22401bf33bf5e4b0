/// @file
/// Tests of the table of refusal reasons.

#include "base/refusal_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

Test(refusalSpec, every_reason_has_its_own_row) {
  for (const RefusalSpec &Spec : RefusalTable) {
    cr_assert(refusalSpec(Spec.Reason).Name == Spec.Name);
    cr_assert(!Spec.Remedy.empty());
  }
}

Test(refusalFromWire, unknown_number_becomes_internal) {
  cr_assert(refusalFromWire(9999) == RefusalReason::Internal);
  cr_assert(refusalFromWire(-1) == RefusalReason::Internal);
}
