/// @file
/// Which histories are read, in what order, and what failures change.

#include "core/batch/history_read_base.h"

#include <criterion/criterion.h>
#include <deque>
#include <vector>

using namespace camphornotch;

namespace {

/// @param Part a partition's number.
/// @return the partition.
PartitionId part(int64_t Part) { return PartitionId{"batch", Part}; }

/// The middle of the spread of pauses.
constexpr double MiddleDraw = 0.5;

} // namespace

Test(historyRead, manyPartitionsWanted_fewReadsAreOpen) {
  HistoryReadPlan Plan;
  for (int64_t Part = 0; Part < 24; ++Part)
    Plan.want(part(Part), Part < 3);
  cr_assert(Plan.next(Millis{0}).has_value());
  cr_assert(Plan.next(Millis{0}).has_value());
  cr_assert(!Plan.next(Millis{0}).has_value());
  cr_assert_eq(Plan.open(), 2U);
  cr_assert_eq(Plan.waiting(), 22U);
}

Test(historyRead, ownedPartitionWantedLast_isReadFirst) {
  HistoryReadPlan Plan;
  Plan.want(part(1), false);
  Plan.want(part(2), true);
  cr_assert(Plan.next(Millis{0})->Where == part(2));
  cr_assert(Plan.next(Millis{0})->Where == part(1));
}

Test(historyRead, partitionThatBecomesOwned_goesFirst) {
  HistoryReadPlan Plan;
  Plan.want(part(1), false);
  Plan.want(part(2), false);
  Plan.setOwned(part(2), true);
  cr_assert(Plan.next(Millis{0})->Where == part(2));
}

Test(historyRead, onlyUnownedWanted_oneAtATime) {
  HistoryReadPlan Plan;
  Plan.want(part(1), false);
  Plan.want(part(2), false);
  cr_assert(Plan.next(Millis{0}).has_value());
  cr_assert(!Plan.next(Millis{0}).has_value());
}

Test(historyRead, historyOfSeveralPages_isReadToItsEndBeforeTheNext) {
  HistoryReadPlan Plan;
  Plan.want(part(1), false);
  Plan.want(part(2), false);
  for (int Page = 0; Page < 3; ++Page) {
    cr_assert(Plan.next(Millis{0})->Where == part(1));
    Plan.answered(part(1), Millis{10});
    Plan.want(part(1), false);
  }
  Plan.done(part(1));
  cr_assert(Plan.next(Millis{0})->Where == part(2));
}

Test(historyRead, failedRead_pausesAllAndLetsAnotherPartitionGo) {
  HistoryReadPlan Plan;
  Plan.want(part(1), false);
  Plan.want(part(2), false);
  cr_assert(Plan.next(Millis{0})->Where == part(1));
  Plan.failed(part(1), Millis{600}, MiddleDraw);
  Plan.want(part(1), false);
  cr_assert(!Plan.next(Millis{600}).has_value());
  cr_assert(Plan.pausedUntil() > Millis{600});
  cr_assert(Plan.next(Plan.pausedUntil())->Where == part(2));
}

Test(historyRead, failuresInARow_lengthenPauseAndTimeAndShortenPages) {
  const HistoryReadLimits Limits;
  HistoryReadPlan Plan(Limits);
  Millis Now{0};
  Millis Pause{0};
  HistoryRead Last;
  for (int Times = 0; Times < 10; ++Times) {
    Plan.want(part(1), true);
    const auto Read = Plan.next(Now);
    cr_assert(Read.has_value());
    cr_assert(Read->Timeout >= Last.Timeout);
    Last = *Read;
    Now += Read->Timeout;
    Plan.failed(part(1), Now, MiddleDraw);
    cr_assert(Plan.pausedUntil() - Now >= Pause);
    Pause = Plan.pausedUntil() - Now;
    Now = Plan.pausedUntil();
  }
  cr_assert(Last.Timeout == Limits.MostTimeout);
  cr_assert(Pause == Limits.MostPause);
  cr_assert_eq(Last.Kilobytes, Limits.LeastKilobytes);
}

Test(historyRead, quickAnswersAfterFailures_bringPagesAndTimeBack) {
  const HistoryReadLimits Limits;
  HistoryReadPlan Plan(Limits);
  Millis Now{0};
  for (int Times = 0; Times < 6; ++Times) {
    Plan.want(part(1), true);
    Plan.next(Now);
    Plan.failed(part(1), Now, MiddleDraw);
    Now = Plan.pausedUntil();
  }
  HistoryRead Last;
  for (int Times = 0; Times < 20; ++Times) {
    Plan.want(part(1), true);
    Last = *Plan.next(Now);
    Plan.answered(part(1), Millis{20});
  }
  cr_assert_eq(Last.Kilobytes, Limits.MostKilobytes);
  cr_assert(Last.Timeout == Limits.LeastTimeout);
}

Test(historyRead, readsRefusedAtOnce_timeForAnAnswerStays) {
  const HistoryReadLimits Limits;
  HistoryReadPlan Plan(Limits);
  Millis Now{0};
  for (int Times = 0; Times < 6; ++Times) {
    Plan.want(part(1), true);
    cr_assert(Plan.next(Now)->Timeout == Limits.LeastTimeout);
    Plan.failed(part(1), Now + Millis{5}, MiddleDraw);
    Now = Plan.pausedUntil();
  }
}

Test(historyRead, ownedPartitionsThatKeepFailing_unownedOnesGetTheirTurn) {
  HistoryReadPlan Plan;
  Millis Now{0};
  bool Read = false;
  Plan.want(part(3), false);
  for (int Times = 0; Times < 20 && !Read; ++Times) {
    for (const int64_t Owned : {1, 2})
      Plan.want(part(Owned), true);
    std::vector<PartitionId> Sent;
    while (const auto Each = Plan.next(Now))
      Sent.push_back(Each->Where);
    for (const PartitionId &Where : Sent) {
      Read |= Where == part(3);
      Plan.failed(Where, Now, MiddleDraw);
    }
    Now = Plan.pausedUntil();
  }
  cr_assert(Read);
}

Test(historyRead, tryOfManyProcesses_isSpread) {
  HistoryReadPlan Early;
  HistoryReadPlan Late;
  for (HistoryReadPlan *Each : {&Early, &Late}) {
    Each->want(part(1), true);
    Each->next(Millis{0});
  }
  Early.failed(part(1), Millis{0}, 0.0);
  Late.failed(part(1), Millis{0}, 1.0);
  cr_assert(Late.pausedUntil() >= Early.pausedUntil() * 2);
}

Test(historyRead, processesThatShareALittleBandwidth_allReadToTheEnd) {
  constexpr int Processes = 30;
  constexpr int64_t Partitions = 24;
  constexpr int64_t HistoryKilobytes = 2'000;
  constexpr int64_t KilobytesAMilli = 80;
  // The store serves reads in turn, those that were given up too.
  struct Sent {
    int Process = 0;
    PartitionId Where;
    Millis SentAt{0};
    Millis AnsweredAt{0};
    Millis GivenUpAt{0};
    int64_t Kilobytes = 0;
  };
  std::vector<HistoryReadPlan> Plans(Processes);
  std::vector<std::map<PartitionId, int64_t>> Left(Processes);
  std::deque<Sent> Open;
  Millis BusyUntil{0};
  for (int Process = 0; Process < Processes; ++Process)
    for (int64_t Part = 0; Part < Partitions; ++Part) {
      Plans[Process].want(part(Part), Part == Process);
      Left[Process][part(Part)] = HistoryKilobytes;
    }
  // Twice the time that the bytes take.
  const Millis End{int64_t{2} * Processes * Partitions * HistoryKilobytes /
                   KilobytesAMilli};
  for (Millis Now{0}; Now < End; Now += Millis{1}) {
    for (int Process = 0; Process < Processes; ++Process)
      while (const auto Read = Plans[Process].next(Now)) {
        const int64_t Wanted =
            std::min(Read->Kilobytes, Left[Process][Read->Where]);
        BusyUntil = std::max(BusyUntil, Now) + Millis{Wanted / KilobytesAMilli};
        Open.push_back(Sent{Process, Read->Where, Now, BusyUntil,
                            Now + Read->Timeout, Wanted});
      }
    std::erase_if(Open, [&](const Sent &Each) {
      HistoryReadPlan &Plan = Plans[Each.Process];
      if (Now < std::min(Each.AnsweredAt, Each.GivenUpAt))
        return false;
      if (Each.AnsweredAt > Each.GivenUpAt) {
        Plan.failed(Each.Where, Now, MiddleDraw);
        Plan.want(Each.Where, Each.Where == part(Each.Process));
        return true;
      }
      Plan.answered(Each.Where, Now - Each.SentAt);
      int64_t &Rest = Left[Each.Process][Each.Where];
      Rest -= Each.Kilobytes;
      if (Rest > 0)
        Plan.want(Each.Where, Each.Where == part(Each.Process));
      else
        Plan.done(Each.Where);
      return true;
    });
  }
  for (const auto &Each : Left)
    for (const auto &[Where, Rest] : Each)
      cr_assert_eq(Rest, 0, "%lld KB of partition %lld were not read",
                   static_cast<long long>(Rest),
                   static_cast<long long>(Where.Number));
}
