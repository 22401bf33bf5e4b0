/// @file
/// Lets the reads of histories through, a few at a time.

#include "gateway/history_gate_base.h"

#include "base/clock_func.h"

#include <utility>

namespace camphornotch {

HistoryGate::HistoryGate(Loop &Events, platform::StoreClient &Store)
    : Events(Events), Store(Store), Draws(std::random_device{}()) {}

void HistoryGate::read(const PartitionId &Where, bool Owned, OffsetCall From,
                       ReadCall Done) {
  this->Waiting[Where] = Queued{std::move(From), std::move(Done)};
  this->Plan.enqueue(Where, Owned);
  this->pump();
}

void HistoryGate::setOwned(const PartitionId &Where, bool Owned) {
  this->Plan.setOwned(Where, Owned);
  this->pump();
}

void HistoryGate::pump() {
  const Millis Now = steadyNow();
  while (const std::optional<HistoryRead> Read = this->Plan.next(Now))
    this->send(*Read);
  if (this->Paused || this->Plan.waiting() == 0 ||
      Now >= this->Plan.pausedUntil())
    return;
  this->Paused = true;
  this->Events.callAt(this->Plan.pausedUntil(), [this] {
    this->Paused = false;
    this->pump();
  });
}

void HistoryGate::send(const HistoryRead &Read) {
  auto Node = this->Waiting.extract(Read.Partition);
  const Queued &Each = Node.mapped();
  const int64_t From = Each.From();
  const platform::ReadBounds Bounds{Millis{0}, Read.Timeout, Read.Kilobytes};
  this->Store.read(Read.Partition, From, Bounds,
                   [this, Where = Read.Partition, From, Done = Each.Done,
                    SentAt = bootNow()](const StoreResult<ReadPage> &Page) {
                     const Millis Took = bootNow() - SentAt;
                     // An expired read tells where to go on.
                     const bool Served =
                         Page.has_value() || (Page.error().Expired &&
                                              Page.error().OldestOffset > From);
                     this->ended(Where, Served, Took);
                     Done(Page, Took);
                     this->pump();
                   });
}

void HistoryGate::ended(const PartitionId &Where, bool Served, Millis Took) {
  if (Served) {
    this->Plan.readSucceeded(Where, Took);
    return;
  }
  const double Draw = std::uniform_real_distribution<double>()(this->Draws);
  this->Plan.readFailed(Where, steadyNow(), Draw);
}

} // namespace camphornotch
