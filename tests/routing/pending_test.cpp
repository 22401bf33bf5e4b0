/// @file
/// Tests of the order in which waiting slots are sent.

#include "core/routing/pending_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// Endpoints with a place free.
constexpr EndpointIndex First{0};
/// See First.
constexpr EndpointIndex Second{1};

/// Waiting slots, numbered so that the group can be told: group * 100 + member.
struct PendingFixture {
  /// The slots under test.
  PendingSlots Pending;
  /// No trainer has anything running.
  std::map<TrainerId, int64_t> Running;

  /// @param Group a group's number.
  /// @param Member a member's number.
  /// @param Step the step.
  /// @param Trainer whose.
  /// @return the slot.
  static RolloutSpec spec(int64_t Group, int64_t Member, int64_t Step = 1,
                          const std::string &Trainer = "t") {
    RolloutSpec Spec;
    Spec.Slot.Value = Group * 100 + Member;
    Spec.Trainer.Value = Trainer;
    Spec.Step = Step;
    Spec.Group = std::to_string(Group);
    return Spec;
  }

  /// @param Groups how many groups of four members to add.
  explicit PendingFixture(int64_t Groups) {
    for (int64_t Group = 0; Group < Groups; ++Group)
      for (int64_t Member = 0; Member < 4; ++Member)
        this->Pending.add(spec(Group, Member));
  }

  /// @param Endpoint where a place is free.
  /// @return the group of the slot that is taken.
  int64_t takeGroup(EndpointIndex Endpoint) {
    const auto Slot = this->Pending.take(Endpoint, Millis{}, this->Running);
    cr_assert(Slot.has_value());
    return Slot->Value / 100;
  }
};

} // namespace

Test(pendingSlots, one_member_of_each_group_goes_first) {
  PendingFixture Fixture(3);
  std::set<int64_t> Groups;
  for (int Taken = 0; Taken < 3; ++Taken)
    Groups.insert(Fixture.takeGroup(First));
  cr_assert(Groups.size() == 3);
}

Test(pendingSlots, longest_group_goes_next) {
  PendingFixture Fixture(3);
  for (int Taken = 0; Taken < 3; ++Taken)
    Fixture.takeGroup(First);
  Fixture.Pending.noteLength(PendingFixture::spec(0, 0), 100);
  Fixture.Pending.noteLength(PendingFixture::spec(1, 0), 900);
  Fixture.Pending.noteLength(PendingFixture::spec(2, 0), 300);
  for (int Taken = 0; Taken < 3; ++Taken)
    cr_assert(Fixture.takeGroup(Second) == 1);
  cr_assert(Fixture.takeGroup(Second) == 2);
}

Test(pendingSlots, group_without_any_whole_member_counts_as_longest) {
  PendingFixture Fixture(2);
  Fixture.takeGroup(First);
  Fixture.takeGroup(First);
  Fixture.Pending.noteLength(PendingFixture::spec(0, 0), 900);
  cr_assert(Fixture.takeGroup(Second) == 1);
}

Test(pendingSlots, endpoint_keeps_its_group_among_like_lengths) {
  PendingFixture Fixture(2);
  const int64_t OfFirst = Fixture.takeGroup(First);
  const int64_t OfSecond = Fixture.takeGroup(Second);
  Fixture.Pending.noteLength(PendingFixture::spec(OfFirst, 0), 1000);
  Fixture.Pending.noteLength(PendingFixture::spec(OfSecond, 0), 980);
  for (int Taken = 0; Taken < 3; ++Taken) {
    cr_assert(Fixture.takeGroup(First) == OfFirst);
    cr_assert(Fixture.takeGroup(Second) == OfSecond);
  }
}

Test(pendingSlots, older_step_goes_before_newer_one) {
  PendingFixture Fixture(0);
  Fixture.Pending.add(PendingFixture::spec(7, 0, 2));
  Fixture.Pending.add(PendingFixture::spec(5, 0, 1));
  cr_assert(Fixture.takeGroup(First) == 5);
}

Test(pendingSlots, trainer_with_fewer_attempts_goes_first) {
  PendingFixture Fixture(0);
  Fixture.Pending.add(PendingFixture::spec(1, 0, 1, "busy"));
  Fixture.Pending.add(PendingFixture::spec(2, 0, 1, "idle"));
  Fixture.Running[TrainerId{"busy"}] = 10;
  cr_assert(Fixture.takeGroup(First) == 2);
}

Test(pendingSlots, slot_to_send_again_waits_for_its_time_then_goes_first) {
  PendingFixture Fixture(1);
  Fixture.Pending.addAgain(PendingFixture::spec(9, 0), Millis{50});
  cr_assert(Fixture.takeGroup(First) == 0);
  const auto Slot = Fixture.Pending.take(First, Millis{50}, Fixture.Running);
  cr_assert(Slot->Value / 100 == 9);
}
