/// @file
/// Who is asked about a partition, and when the store is asked who owns it.

#include "core/batch/owner_table_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// The partition asked about.
const PartitionId Part{"batch", 1};

/// A table, a clock, and a store that names one owner.
struct OwnerFixture {
  /// The table.
  OwnerTable Table{"self@10.0.0.1:7"};
  /// The time.
  Millis Now = seconds(100);

  /// Lets the store answer, if it is due to be asked.
  /// @param Member the owner that it names; empty: none.
  /// @return whether it was due.
  bool lookUp(const std::string &Member) {
    if (!this->Table.lookUpDue(this->Now))
      return false;
    this->Table.lookUpBegun(this->Now);
    std::vector<PartitionOwner> Owners;
    if (!Member.empty())
      Owners.push_back(PartitionOwner{Part, Member});
    this->Table.learnt(Owners, this->Now);
    return true;
  }

  /// @return the next step of a call.
  OwnerStep step() { return this->Table.advise(Part, this->Now).Step; }

  /// @return the member that a call goes to; empty: none.
  std::string asked() { return this->Table.advise(Part, this->Now).Owner.Name; }

  /// @return the owner that is known.
  OwnerMember owner() { return this->Table.advise(Part, this->Now).Owner; }

  /// Lets time pass.
  /// @param Span how long.
  void pass(Millis Span) { this->Now = this->Now + Span; }
};

/// The members of the tests.
constexpr const char *First = "a@10.0.0.2:7";
constexpr const char *Second = "b@10.0.0.3:7";

} // namespace

Test(ownerTable, nothingKnown_awaitsTheStoreAndAsksTheOwner) {
  OwnerFixture Net;
  cr_assert(Net.step() == OwnerStep::Await);
  Net.Table.lookUpBegun(Net.Now);
  cr_assert(!Net.Table.lookUpDue(Net.Now), "one question at a time");
  cr_assert(Net.step() == OwnerStep::Await);
  const PartitionOwner Owner{Part, First};
  Net.Table.learnt({&Owner, 1}, Net.Now);
  cr_assert(Net.step() == OwnerStep::Ask);
  cr_assert(Net.owner().Where == (Address{"10.0.0.2", 7}));
}

Test(ownerTable, ownersInUse_areLookedUpSeldom) {
  OwnerFixture Net;
  cr_assert(Net.lookUp(First));
  int LookUps = 0;
  constexpr int Steps = 300;
  for (int Step = 0; Step < Steps; ++Step) {
    Net.pass(Millis{100});
    cr_assert(Net.asked() == First);
    Net.Table.answered(Part, Net.owner());
    LookUps += Net.lookUp(First) ? 1 : 0;
  }
  cr_assert_eq(LookUps, 3);
}

Test(ownerTable, anotherGeneration_asksTheStoreOnce) {
  OwnerFixture Net;
  Net.Table.generationSeen(4);
  cr_assert(Net.lookUp(First));
  Net.pass(Millis{500});
  Net.Table.generationSeen(4);
  cr_assert(!Net.lookUp(First));
  Net.Table.generationSeen(5);
  cr_assert(Net.asked() == First, "the old owner is asked meanwhile");
  cr_assert(Net.lookUp(Second));
  cr_assert(Net.asked() == Second);
  cr_assert(!Net.lookUp(Second));
}

Test(ownerTable, refusal_asksTheStoreAtOnceAndThenTheNewOwner) {
  OwnerFixture Net;
  cr_assert(Net.lookUp(First));
  Net.Table.refused(Part, Net.owner(), Net.Now);
  Net.pass(Millis{1});
  cr_assert(Net.step() == OwnerStep::Await);
  cr_assert(Net.lookUp(Second));
  cr_assert(Net.asked() == Second);
}

Test(ownerTable, refusalByTheOnlyOwnerNamed_waitsAndAsksAgain) {
  OwnerFixture Net;
  cr_assert(Net.lookUp(First));
  const OwnerMember Owner = Net.owner();
  Net.Table.refused(Part, Owner, Net.Now);
  Net.pass(Millis{1});
  cr_assert(Net.lookUp(First));
  cr_assert(Net.step() == OwnerStep::ComeAgain);
  Net.Table.refused(Part, Owner, Net.Now);
  cr_assert(!Net.Table.lookUpDue(Net.Now), "not at each refusal");
  Net.pass(Millis{400});
  cr_assert(Net.step() == OwnerStep::Ask);
}

Test(ownerTable, ownerThatDoesNotAnswer_isLookedUpThenReadAround) {
  OwnerFixture Net;
  cr_assert(Net.lookUp(First));
  Net.pass(Millis{1'500});
  Net.Table.failed(Part, Net.owner(), Net.Now - Millis{1'400}, Net.Now);
  Net.pass(Millis{1});
  cr_assert(Net.step() == OwnerStep::Await);
  cr_assert(Net.lookUp(First));
  cr_assert(Net.step() == OwnerStep::ReadHere);
  Net.pass(Millis{400});
  cr_assert(Net.step() == OwnerStep::ReadHere);
  cr_assert(Net.lookUp(Second));
  cr_assert(Net.asked() == Second);
}

Test(ownerTable, ownerThatRefusesConnections_isGivenASecondToComeBack) {
  OwnerFixture Net;
  cr_assert(Net.lookUp(First));
  const OwnerMember Owner = Net.owner();
  Net.Table.failed(Part, Owner, Net.Now, Net.Now);
  cr_assert(Net.lookUp(First));
  cr_assert(Net.step() == OwnerStep::ComeAgain);
  Net.pass(Millis{999});
  cr_assert(Net.step() == OwnerStep::ComeAgain);
  Net.pass(Millis{1});
  cr_assert(Net.step() == OwnerStep::ReadHere);
  Net.pass(Millis{1'000});
  cr_assert(Net.step() == OwnerStep::Ask, "it is tried again");
  Net.Table.answered(Part, Owner);
  Net.Table.failed(Part, Owner, Net.Now, Net.Now);
  Net.lookUp(First);
  cr_assert(Net.step() == OwnerStep::ComeAgain, "an answer ends the trouble");
}

Test(ownerTable, manyFailuresOfOneOwner_askTheStoreOnce) {
  OwnerFixture Net;
  cr_assert(Net.lookUp(First));
  const OwnerMember Owner = Net.owner();
  int LookUps = 0;
  constexpr int Calls = 100;
  for (int Call = 0; Call < Calls; ++Call) {
    Net.Table.failed(Part, Owner, Net.Now, Net.Now);
    LookUps += Net.lookUp(First) ? 1 : 0;
    Net.pass(Millis{1});
  }
  cr_assert_eq(LookUps, 1);
}

Test(ownerTable, ownerThatReads_isWaitedForAWhileOnly) {
  OwnerFixture Net;
  cr_assert(Net.lookUp(First));
  cr_assert(Net.Table.catchingUp(Part, Net.Now).Step == OwnerStep::ComeAgain);
  Net.pass(Millis{1'500});
  cr_assert(Net.Table.catchingUp(Part, Net.Now).Step == OwnerStep::ComeAgain);
  cr_assert(Net.step() == OwnerStep::Ask);
  Net.pass(Millis{1'500});
  cr_assert(Net.Table.catchingUp(Part, Net.Now).Step == OwnerStep::ReadHere);
  Net.Table.answered(Part, Net.owner());
  cr_assert(Net.Table.catchingUp(Part, Net.Now).Step == OwnerStep::ComeAgain);
}

Test(ownerTable, partitionWithoutOwner_isReadHereAfterAWhile) {
  OwnerFixture Net;
  cr_assert(Net.lookUp(""));
  cr_assert(Net.step() == OwnerStep::ComeAgain);
  Net.pass(Millis{2'000});
  cr_assert(Net.lookUp(""), "the store is asked again while none is known");
  cr_assert(Net.step() == OwnerStep::ComeAgain);
  Net.pass(Millis{1'000});
  cr_assert(Net.step() == OwnerStep::ReadHere);
}

Test(ownerTable, ownNameOrNameWithoutAddress_isNeverAsked) {
  OwnerFixture Net;
  for (const char *Member : {"self@10.0.0.1:7", "b"}) {
    Net.pass(seconds(20));
    cr_assert(Net.lookUp(Member));
    cr_assert(Net.step() == OwnerStep::ComeAgain);
  }
}

Test(ownerTable, storeThatDoesNotAnswer_leavesWhatIsKnownAndIsAskedAgain) {
  OwnerFixture Net;
  Net.Table.lookUpBegun(Net.Now);
  Net.Table.lookUpFailed();
  cr_assert(Net.step() == OwnerStep::ComeAgain);
  cr_assert(!Net.Table.lookUpDue(Net.Now), "after a pause");
  Net.pass(Millis{300});
  cr_assert(Net.step() == OwnerStep::Await);
  cr_assert(Net.lookUp(First));
  Net.pass(seconds(10));
  Net.Table.lookUpBegun(Net.Now);
  Net.Table.lookUpFailed();
  cr_assert(Net.asked() == First);
}
