/// @file
/// Queues the reads of partitions' histories and sends a few at a time.

#include "gateway/history_read_queue_base.h"

#include "base/clock_func.h"

#include <utility>

namespace camphornotch {

HistoryReadQueue::HistoryReadQueue(Loop &Events, platform::StoreClient &Store)
    : Events(Events), Store(Store), Random(std::random_device{}()) {}

void HistoryReadQueue::read(const PartitionId &Partition, bool Owned,
                            OffsetSource NextOffset, ReadHandler Done) {
  this->QueuedReads[Partition] =
      QueuedRead{std::move(NextOffset), std::move(Done)};
  this->Scheduler.enqueue(Partition, Owned);
  this->pump();
}

void HistoryReadQueue::setOwned(const PartitionId &Partition, bool Owned) {
  this->Scheduler.setOwned(Partition, Owned);
  this->pump();
}

void HistoryReadQueue::pump() {
  const Millis Now = steadyNow();
  while (const std::optional<HistoryRead> Read = this->Scheduler.next(Now))
    this->send(*Read);
  if (this->Paused || this->Scheduler.waiting() == 0 ||
      Now >= this->Scheduler.pausedUntil())
    return;
  this->Paused = true;
  this->Events.callAt(this->Scheduler.pausedUntil(), [this] {
    this->Paused = false;
    this->pump();
  });
}

void HistoryReadQueue::send(const HistoryRead &Read) {
  auto Node = this->QueuedReads.extract(Read.Partition);
  const QueuedRead &Queued = Node.mapped();
  const int64_t Offset = Queued.NextOffset();
  const platform::ReadBounds Bounds{Millis{0}, Read.Timeout, Read.Kilobytes};
  this->Store.read(
      Read.Partition, Offset, Bounds,
      [this, Partition = Read.Partition, Offset, Done = Queued.Done,
       SentAt = bootNow()](const StoreResult<ReadPage> &Page) {
        const Millis Elapsed = bootNow() - SentAt;
        // The failure of an expired read says where to continue.
        const bool Served =
            Page.has_value() ||
            (Page.error().Expired && Page.error().OldestOffset > Offset);
        this->onReadEnded(Partition, Served, Elapsed);
        Done(Page, Elapsed);
        this->pump();
      });
}

void HistoryReadQueue::onReadEnded(const PartitionId &Partition, bool Served,
                                   Millis Elapsed) {
  if (Served) {
    this->Scheduler.readSucceeded(Partition, Elapsed);
    return;
  }
  const double Draw = std::uniform_real_distribution<double>()(this->Random);
  this->Scheduler.readFailed(Partition, steadyNow(), Draw);
}

} // namespace camphornotch
