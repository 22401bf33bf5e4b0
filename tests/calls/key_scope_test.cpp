/// @file
/// Tests of the scope of idempotency keys.

#include "core/calls/key_scope_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

Test(key_scope, of_two_callers_differs) {
  cr_assert(scopeKey("ledger", "a", "k") != scopeKey("ledger", "b", "k"));
  cr_assert(scopeKey("ledger", "a", "k") != scopeKey("score", "a", "k"));
}

Test(key_scope, sent_to_the_service_is_the_callers_key) {
  cr_assert(callersKey(scopeKey("ledger", "desk", "k-1")) == "k-1");
  cr_assert(callersKey(scopeKey("ledger", "", "k-1")) == "k-1");
  cr_assert(callersKey("k-1") == "k-1");
}
