/// @file
/// Which owner calls go to, and when the owners are looked up in the store.

#include "core/batch/owner_table_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

const PartitionId Partition{"batch", 1};

/// A table, a clock, and a store that names at most one owner.
struct OwnerFixture {
  OwnerTable Table{"self@10.0.0.1:7"};
  Millis Now = seconds(100);

  /// Looks up the owners if that is due.
  /// @param Member the owner that the store names; empty: none.
  /// @return whether a lookup was due.
  bool lookup(const std::string &Member) {
    if (!this->Table.isLookupDue(this->Now))
      return false;
    this->Table.lookupStarted(this->Now);
    std::vector<PartitionOwner> Owners;
    if (!Member.empty())
      Owners.push_back(PartitionOwner{Partition, Member});
    this->Table.lookupSucceeded(Owners, this->Now);
    return true;
  }

  OwnerAction action() {
    return this->Table.decide(Partition, this->Now).Action;
  }

  /// @return the name of the member that a call goes to; empty: none.
  std::string asked() {
    return this->Table.decide(Partition, this->Now).Owner.Name;
  }

  OwnerMember owner() { return this->Table.decide(Partition, this->Now).Owner; }

  void advance(Millis Span) { this->Now = this->Now + Span; }
};

/// Names of two members.
constexpr const char *First = "a@10.0.0.2:7";
constexpr const char *Second = "b@10.0.0.3:7";

} // namespace

Test(ownerTable, nothingKnown_awaitsLookupThenAsksOwner) {
  OwnerFixture Fixture;
  cr_assert(Fixture.action() == OwnerAction::AwaitLookup);
  Fixture.Table.lookupStarted(Fixture.Now);
  cr_assert(!Fixture.Table.isLookupDue(Fixture.Now), "one lookup at a time");
  cr_assert(Fixture.action() == OwnerAction::AwaitLookup);
  const PartitionOwner Owner{Partition, First};
  Fixture.Table.lookupSucceeded({&Owner, 1}, Fixture.Now);
  cr_assert(Fixture.action() == OwnerAction::AskOwner);
  cr_assert(Fixture.owner().PeerAddress == (Address{"10.0.0.2", 7}));
}

Test(ownerTable, ownersInUse_areLookedUpRarely) {
  OwnerFixture Fixture;
  cr_assert(Fixture.lookup(First));
  int Lookups = 0;
  constexpr int Steps = 300;
  for (int Step = 0; Step < Steps; ++Step) {
    Fixture.advance(Millis{100});
    cr_assert(Fixture.asked() == First);
    Fixture.Table.ownerAnswered(Partition, Fixture.owner());
    Lookups += Fixture.lookup(First) ? 1 : 0;
  }
  cr_assert_eq(Lookups, 3);
}

Test(ownerTable, newGeneration_causesOneLookup) {
  OwnerFixture Fixture;
  Fixture.Table.noteGeneration(4);
  cr_assert(Fixture.lookup(First));
  Fixture.advance(Millis{500});
  Fixture.Table.noteGeneration(4);
  cr_assert(!Fixture.lookup(First));
  Fixture.Table.noteGeneration(5);
  cr_assert(Fixture.asked() == First,
            "the old owner is asked until the lookup");
  cr_assert(Fixture.lookup(Second));
  cr_assert(Fixture.asked() == Second);
  cr_assert(!Fixture.lookup(Second));
}

Test(ownerTable, refusal_causesLookupAtOnceThenNewOwnerIsAsked) {
  OwnerFixture Fixture;
  cr_assert(Fixture.lookup(First));
  Fixture.Table.ownerRefused(Partition, Fixture.owner(), Fixture.Now);
  Fixture.advance(Millis{1});
  cr_assert(Fixture.action() == OwnerAction::AwaitLookup);
  cr_assert(Fixture.lookup(Second));
  cr_assert(Fixture.asked() == Second);
}

Test(ownerTable, refusalByTheOnlyOwnerNamed_isAskedAgainLater) {
  OwnerFixture Fixture;
  cr_assert(Fixture.lookup(First));
  const OwnerMember Owner = Fixture.owner();
  Fixture.Table.ownerRefused(Partition, Owner, Fixture.Now);
  Fixture.advance(Millis{1});
  cr_assert(Fixture.lookup(First));
  cr_assert(Fixture.action() == OwnerAction::RetryLater);
  Fixture.Table.ownerRefused(Partition, Owner, Fixture.Now);
  cr_assert(!Fixture.Table.isLookupDue(Fixture.Now), "not at each refusal");
  Fixture.advance(Millis{400});
  cr_assert(Fixture.action() == OwnerAction::AskOwner);
}

Test(ownerTable, ownerThatDoesNotAnswer_causesLookupThenLocalRead) {
  OwnerFixture Fixture;
  cr_assert(Fixture.lookup(First));
  Fixture.advance(Millis{1'500});
  Fixture.Table.ownerFailed(Partition, Fixture.owner(),
                            Fixture.Now - Millis{1'400}, Fixture.Now);
  Fixture.advance(Millis{1});
  cr_assert(Fixture.action() == OwnerAction::AwaitLookup);
  cr_assert(Fixture.lookup(First));
  cr_assert(Fixture.action() == OwnerAction::ReadLocally);
  Fixture.advance(Millis{400});
  cr_assert(Fixture.action() == OwnerAction::ReadLocally);
  cr_assert(Fixture.lookup(Second));
  cr_assert(Fixture.asked() == Second);
}

Test(ownerTable, ownerThatRefusesConnections_hasASecondToRestart) {
  OwnerFixture Fixture;
  cr_assert(Fixture.lookup(First));
  const OwnerMember Owner = Fixture.owner();
  Fixture.Table.ownerFailed(Partition, Owner, Fixture.Now, Fixture.Now);
  cr_assert(Fixture.lookup(First));
  cr_assert(Fixture.action() == OwnerAction::RetryLater);
  Fixture.advance(Millis{999});
  cr_assert(Fixture.action() == OwnerAction::RetryLater);
  Fixture.advance(Millis{1});
  cr_assert(Fixture.action() == OwnerAction::ReadLocally);
  Fixture.advance(Millis{1'000});
  cr_assert(Fixture.action() == OwnerAction::AskOwner, "it is tried again");
  Fixture.Table.ownerAnswered(Partition, Owner);
  Fixture.Table.ownerFailed(Partition, Owner, Fixture.Now, Fixture.Now);
  Fixture.lookup(First);
  cr_assert(Fixture.action() == OwnerAction::RetryLater,
            "an answer ends the outage");
}

Test(ownerTable, manyFailuresOfOneOwner_causeOneLookup) {
  OwnerFixture Fixture;
  cr_assert(Fixture.lookup(First));
  const OwnerMember Owner = Fixture.owner();
  int Lookups = 0;
  constexpr int Calls = 100;
  for (int Call = 0; Call < Calls; ++Call) {
    Fixture.Table.ownerFailed(Partition, Owner, Fixture.Now, Fixture.Now);
    Lookups += Fixture.lookup(First) ? 1 : 0;
    Fixture.advance(Millis{1});
  }
  cr_assert_eq(Lookups, 1);
}

Test(ownerTable, ownerThatIsReading_isWaitedForFor3s) {
  OwnerFixture Fixture;
  cr_assert(Fixture.lookup(First));
  cr_assert(Fixture.Table.ownerCatchingUp(Partition, Fixture.Now).Action ==
            OwnerAction::RetryLater);
  Fixture.advance(Millis{1'500});
  cr_assert(Fixture.Table.ownerCatchingUp(Partition, Fixture.Now).Action ==
            OwnerAction::RetryLater);
  cr_assert(Fixture.action() == OwnerAction::AskOwner);
  Fixture.advance(Millis{1'500});
  cr_assert(Fixture.Table.ownerCatchingUp(Partition, Fixture.Now).Action ==
            OwnerAction::ReadLocally);
  Fixture.Table.ownerAnswered(Partition, Fixture.owner());
  cr_assert(Fixture.Table.ownerCatchingUp(Partition, Fixture.Now).Action ==
            OwnerAction::RetryLater);
}

Test(ownerTable, partitionWithoutOwner_isReadLocallyAfter3s) {
  OwnerFixture Fixture;
  cr_assert(Fixture.lookup(""));
  cr_assert(Fixture.action() == OwnerAction::RetryLater);
  Fixture.advance(Millis{2'000});
  cr_assert(Fixture.lookup(""), "lookups are repeated while there is no owner");
  cr_assert(Fixture.action() == OwnerAction::RetryLater);
  Fixture.advance(Millis{1'000});
  cr_assert(Fixture.action() == OwnerAction::ReadLocally);
}

Test(ownerTable, ownNameOrNameWithoutAddress_isNeverAsked) {
  OwnerFixture Fixture;
  for (const char *Member : {"self@10.0.0.1:7", "b"}) {
    Fixture.advance(seconds(20));
    cr_assert(Fixture.lookup(Member));
    cr_assert(Fixture.action() == OwnerAction::RetryLater);
  }
}

Test(ownerTable, failedLookup_keepsKnownOwnersAndIsRepeated) {
  OwnerFixture Fixture;
  Fixture.Table.lookupStarted(Fixture.Now);
  Fixture.Table.lookupFailed();
  cr_assert(Fixture.action() == OwnerAction::RetryLater);
  cr_assert(!Fixture.Table.isLookupDue(Fixture.Now), "after a pause");
  Fixture.advance(Millis{300});
  cr_assert(Fixture.action() == OwnerAction::AwaitLookup);
  cr_assert(Fixture.lookup(First));
  Fixture.advance(seconds(10));
  Fixture.Table.lookupStarted(Fixture.Now);
  Fixture.Table.lookupFailed();
  cr_assert(Fixture.asked() == First);
}
