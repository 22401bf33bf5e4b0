/// @file
/// Scheduling of history reads: order, concurrency, and reaction to failures.

#include "core/batch/history_read_base.h"

#include <criterion/criterion.h>
#include <deque>
#include <vector>

using namespace camphornotch;

namespace {

PartitionId partition(int64_t Number) { return PartitionId{"batch", Number}; }

/// Gives the pause its nominal length.
constexpr double MiddleJitter = 0.5;

} // namespace

Test(historyRead, manyPartitionsQueued_fewReadsAreOpen) {
  HistoryReadScheduler Scheduler;
  for (int64_t Number = 0; Number < 24; ++Number)
    Scheduler.enqueue(partition(Number), Number < 3);
  cr_assert(Scheduler.next(Millis{0}).has_value());
  cr_assert(Scheduler.next(Millis{0}).has_value());
  cr_assert(!Scheduler.next(Millis{0}).has_value());
  cr_assert_eq(Scheduler.open(), 2U);
  cr_assert_eq(Scheduler.waiting(), 22U);
}

Test(historyRead, ownedPartitionQueuedLast_isReadFirst) {
  HistoryReadScheduler Scheduler;
  Scheduler.enqueue(partition(1), false);
  Scheduler.enqueue(partition(2), true);
  cr_assert(Scheduler.next(Millis{0})->Partition == partition(2));
  cr_assert(Scheduler.next(Millis{0})->Partition == partition(1));
}

Test(historyRead, partitionThatBecomesOwned_goesFirst) {
  HistoryReadScheduler Scheduler;
  Scheduler.enqueue(partition(1), false);
  Scheduler.enqueue(partition(2), false);
  Scheduler.setOwned(partition(2), true);
  cr_assert(Scheduler.next(Millis{0})->Partition == partition(2));
}

Test(historyRead, onlyUnownedQueued_areReadOneAtATime) {
  HistoryReadScheduler Scheduler;
  Scheduler.enqueue(partition(1), false);
  Scheduler.enqueue(partition(2), false);
  cr_assert(Scheduler.next(Millis{0}).has_value());
  cr_assert(!Scheduler.next(Millis{0}).has_value());
}

Test(historyRead, historyOfSeveralPages_isReadToItsEndBeforeTheNext) {
  HistoryReadScheduler Scheduler;
  Scheduler.enqueue(partition(1), false);
  Scheduler.enqueue(partition(2), false);
  for (int Page = 0; Page < 3; ++Page) {
    cr_assert(Scheduler.next(Millis{0})->Partition == partition(1));
    Scheduler.readSucceeded(partition(1), Millis{10});
    Scheduler.enqueue(partition(1), false);
  }
  Scheduler.remove(partition(1));
  cr_assert(Scheduler.next(Millis{0})->Partition == partition(2));
}

Test(historyRead, failedRead_pausesAllReadsThenAnotherPartitionGoesFirst) {
  HistoryReadScheduler Scheduler;
  Scheduler.enqueue(partition(1), false);
  Scheduler.enqueue(partition(2), false);
  cr_assert(Scheduler.next(Millis{0})->Partition == partition(1));
  Scheduler.readFailed(partition(1), Millis{600}, MiddleJitter);
  Scheduler.enqueue(partition(1), false);
  cr_assert(!Scheduler.next(Millis{600}).has_value());
  cr_assert(Scheduler.pausedUntil() > Millis{600});
  cr_assert(Scheduler.next(Scheduler.pausedUntil())->Partition == partition(2));
}

Test(historyRead, consecutiveTimeouts_lengthenPauseAndTimeoutAndShrinkPages) {
  const HistoryReadLimits Limits;
  HistoryReadScheduler Scheduler(Limits);
  Millis Now{0};
  Millis Pause{0};
  HistoryRead Last;
  for (int Times = 0; Times < 10; ++Times) {
    Scheduler.enqueue(partition(1), true);
    const auto Read = Scheduler.next(Now);
    cr_assert(Read.has_value());
    cr_assert(Read->Timeout >= Last.Timeout);
    Last = *Read;
    Now += Read->Timeout;
    Scheduler.readFailed(partition(1), Now, MiddleJitter);
    cr_assert(Scheduler.pausedUntil() - Now >= Pause);
    Pause = Scheduler.pausedUntil() - Now;
    Now = Scheduler.pausedUntil();
  }
  cr_assert(Last.Timeout == Limits.MaxTimeout);
  cr_assert(Pause == Limits.MaxPause);
  cr_assert_eq(Last.Kilobytes, Limits.MinKilobytes);
}

Test(historyRead, quickAnswersAfterFailures_restorePageSizeAndTimeout) {
  const HistoryReadLimits Limits;
  HistoryReadScheduler Scheduler(Limits);
  Millis Now{0};
  for (int Times = 0; Times < 6; ++Times) {
    Scheduler.enqueue(partition(1), true);
    Scheduler.next(Now);
    Scheduler.readFailed(partition(1), Now, MiddleJitter);
    Now = Scheduler.pausedUntil();
  }
  HistoryRead Last;
  for (int Times = 0; Times < 20; ++Times) {
    Scheduler.enqueue(partition(1), true);
    Last = *Scheduler.next(Now);
    Scheduler.readSucceeded(partition(1), Millis{20});
  }
  cr_assert_eq(Last.Kilobytes, Limits.MaxKilobytes);
  cr_assert(Last.Timeout == Limits.MinTimeout);
}

Test(historyRead, readsRefusedAtOnce_leaveTheTimeoutUnchanged) {
  const HistoryReadLimits Limits;
  HistoryReadScheduler Scheduler(Limits);
  Millis Now{0};
  for (int Times = 0; Times < 6; ++Times) {
    Scheduler.enqueue(partition(1), true);
    cr_assert(Scheduler.next(Now)->Timeout == Limits.MinTimeout);
    Scheduler.readFailed(partition(1), Now + Millis{5}, MiddleJitter);
    Now = Scheduler.pausedUntil();
  }
}

Test(historyRead, ownedPartitionsThatKeepFailing_doNotBlockUnownedOnes) {
  HistoryReadScheduler Scheduler;
  Millis Now{0};
  bool UnownedRead = false;
  Scheduler.enqueue(partition(3), false);
  for (int Times = 0; Times < 20 && !UnownedRead; ++Times) {
    for (const int64_t Owned : {1, 2})
      Scheduler.enqueue(partition(Owned), true);
    std::vector<PartitionId> Sent;
    while (const auto Each = Scheduler.next(Now))
      Sent.push_back(Each->Partition);
    for (const PartitionId &Partition : Sent) {
      UnownedRead |= Partition == partition(3);
      Scheduler.readFailed(Partition, Now, MiddleJitter);
    }
    Now = Scheduler.pausedUntil();
  }
  cr_assert(UnownedRead);
}

Test(historyRead, retriesOfSeveralProcesses_areSpread) {
  HistoryReadScheduler Early;
  HistoryReadScheduler Late;
  for (HistoryReadScheduler *Each : {&Early, &Late}) {
    Each->enqueue(partition(1), true);
    Each->next(Millis{0});
  }
  Early.readFailed(partition(1), Millis{0}, 0.0);
  Late.readFailed(partition(1), Millis{0}, 1.0);
  cr_assert(Late.pausedUntil() >= Early.pausedUntil() * 2);
}

Test(historyRead, processesThatShareLittleBandwidth_allReadToTheEnd) {
  constexpr int Processes = 30;
  constexpr int64_t Partitions = 24;
  constexpr int64_t HistoryKilobytes = 2'000;
  constexpr int64_t KilobytesPerMilli = 80;
  // The store serves reads one after the other, also those that timed out.
  struct OpenRead {
    int Process = 0;
    PartitionId Partition;
    Millis SentAt{0};
    Millis AnsweredAt{0};
    Millis Deadline{0};
    int64_t Kilobytes = 0;
  };
  std::vector<HistoryReadScheduler> Schedulers(Processes);
  std::vector<std::map<PartitionId, int64_t>> Left(Processes);
  std::deque<OpenRead> Open;
  Millis BusyUntil{0};
  for (int Process = 0; Process < Processes; ++Process)
    for (int64_t Number = 0; Number < Partitions; ++Number) {
      Schedulers[Process].enqueue(partition(Number), Number == Process);
      Left[Process][partition(Number)] = HistoryKilobytes;
    }
  // Twice the time that the transfer takes at full bandwidth.
  const Millis End{int64_t{2} * Processes * Partitions * HistoryKilobytes /
                   KilobytesPerMilli};
  for (Millis Now{0}; Now < End; Now += Millis{1}) {
    for (int Process = 0; Process < Processes; ++Process)
      while (const auto Read = Schedulers[Process].next(Now)) {
        const int64_t Requested =
            std::min(Read->Kilobytes, Left[Process][Read->Partition]);
        BusyUntil =
            std::max(BusyUntil, Now) + Millis{Requested / KilobytesPerMilli};
        Open.push_back(OpenRead{Process, Read->Partition, Now, BusyUntil,
                                Now + Read->Timeout, Requested});
      }
    std::erase_if(Open, [&](const OpenRead &Each) {
      HistoryReadScheduler &Scheduler = Schedulers[Each.Process];
      if (Now < std::min(Each.AnsweredAt, Each.Deadline))
        return false;
      if (Each.AnsweredAt > Each.Deadline) {
        Scheduler.readFailed(Each.Partition, Now, MiddleJitter);
        Scheduler.enqueue(Each.Partition,
                          Each.Partition == partition(Each.Process));
        return true;
      }
      Scheduler.readSucceeded(Each.Partition, Now - Each.SentAt);
      int64_t &Rest = Left[Each.Process][Each.Partition];
      Rest -= Each.Kilobytes;
      if (Rest > 0)
        Scheduler.enqueue(Each.Partition,
                          Each.Partition == partition(Each.Process));
      else
        Scheduler.remove(Each.Partition);
      return true;
    });
  }
  for (const auto &Each : Left)
    for (const auto &[Partition, Rest] : Each)
      cr_assert_eq(Rest, 0, "%lld KB of partition %lld were not read",
                   static_cast<long long>(Rest),
                   static_cast<long long>(Partition.Number));
}
