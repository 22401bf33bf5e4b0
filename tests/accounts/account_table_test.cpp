/// @file
/// The table of client accounts, and the decision on a request's key.

#include "core/accounts/access_func.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// @return an account without a priority.
AccountEntry entry(std::string Name, std::vector<std::string> Keys) {
  return AccountEntry{Account{std::move(Name), std::nullopt}, std::move(Keys)};
}

} // namespace

Test(accountTable, keyOfAnAccount_findsIt) {
  const std::vector<AccountEntry> Entries{entry("one", {"k1", "k2"}),
                                          entry("two", {"k3"})};
  const AccountTable Table(Entries);
  cr_assert_eq(Table.findByKey("k2")->Name, "one");
  cr_assert_eq(Table.findByKey("k3")->Name, "two");
  cr_assert_null(Table.findByKey("k4"));
  cr_assert_null(Table.findByKey(""));
}

// Guards against a key that changes its account by the order of a hash table.
Test(accountTable, keyOfTwoAccounts_staysWithTheFirst) {
  const std::vector<AccountEntry> Entries{entry("one", {"k"}),
                                          entry("two", {"k", "k"})};
  const AccountTable Table(Entries);
  cr_assert_eq(Table.findByKey("k")->Name, "one");
  cr_assert_eq(Table.conflicts().size(), 2);
  cr_assert_eq(Table.conflicts()[0].Kept, "one");
  cr_assert_eq(Table.conflicts()[0].Ignored, "two");
}

Test(accountTable, accountListedTwice_hasTheKeysOfBothEntries) {
  const std::vector<AccountEntry> Entries{entry("one", {"k1"}),
                                          entry("one", {"k2"})};
  const AccountTable Table(Entries);
  cr_assert_eq(Table.size(), 1);
  cr_assert_eq(Table.findByKey("k2"), Table.findByKey("k1"));
}

// Guards against stale entries: each version's table must agree with a plain
// map of that version, also for keys that an earlier version had.
Test(accountTable, randomVersions_agreeWithAPlainMap) {
  const bool Held = rc::check("a table agrees with a plain map", [] {
    const auto Versions =
        *rc::gen::container<std::vector<std::vector<std::pair<int, int>>>>(
            rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
                rc::gen::inRange(0, 6), rc::gen::inRange(0, 20))));
    for (const auto &Version : Versions) {
      std::map<std::string, std::string> Plain;
      std::vector<AccountEntry> Entries;
      for (const auto &[Name, Key] : Version) {
        Entries.push_back(
            entry("a" + std::to_string(Name), {"k" + std::to_string(Key)}));
        Plain.try_emplace("k" + std::to_string(Key),
                          "a" + std::to_string(Name));
      }
      const AccountTable Table(Entries);
      for (int Key = 0; Key < 20; ++Key) {
        const std::string Text = "k" + std::to_string(Key);
        const Account *Found = Table.findByKey(Text);
        const auto Expected = Plain.find(Text);
        RC_ASSERT((Found == nullptr) == (Expected == Plain.end()));
        if (Found != nullptr)
          RC_ASSERT(Found->Name == Expected->second);
      }
    }
  });
  cr_assert(Held);
}

Test(decideAccess, withoutAccounts_allowsEveryRequest) {
  cr_assert(decideAccess(nullptr, false, std::nullopt, true).isAllowed());
  cr_assert(decideAccess(nullptr, false, "k", false).isAllowed());
}

Test(decideAccess, privateRoute_needsAKnownKey) {
  const std::vector<AccountEntry> Entries{entry("one", {"k"})};
  const AccountTable Table(Entries);
  cr_assert_eq(decideAccess(&Table, false, "k", true).Caller->Name, "one");
  cr_assert_eq(decideAccess(&Table, false, "x", true).Outcome,
               KeyOutcome::Unknown);
  cr_assert_eq(decideAccess(&Table, false, std::nullopt, true).Outcome,
               KeyOutcome::Missing);
}

// Guards against a 401 for a key that a newer configuration already holds.
Test(decideAccess, unknownKeyUnderAnOldConfiguration_isStale) {
  const AccountTable Table;
  cr_assert_eq(decideAccess(&Table, false, "x", false).Outcome,
               KeyOutcome::Stale);
}

Test(decideAccess, publicRoute_namesTheAccountOfAKnownKeyOnly) {
  const std::vector<AccountEntry> Entries{entry("one", {"k"})};
  const AccountTable Table(Entries);
  const AccessDecision Known = decideAccess(&Table, true, "k", true);
  cr_assert(Known.isAllowed());
  cr_assert_eq(Known.Caller->Name, "one");
  const AccessDecision Unknown = decideAccess(&Table, true, "x", true);
  cr_assert(Unknown.isAllowed());
  cr_assert_null(Unknown.Caller);
}

// Guards against ids of two accounts that coincide.
Test(accountScopedId, namesWithSlashes_doNotCoincide) {
  cr_assert_eq(accountScopedId(std::nullopt, "x"), "x");
  cr_assert_neq(accountScopedId("", "a/x"), accountScopedId("a", "x"));
  cr_assert_eq(accountScopedId("a", "x"), "a/x");
  cr_assert_neq(accountScopedId("a/b", "c"), accountScopedId("a", "b/c"));
  cr_assert_neq(accountScopedId("a%2Fb", "c"), accountScopedId("a/b", "c"));
}
