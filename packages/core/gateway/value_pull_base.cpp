/// @file
/// Decides when published values are pulled from a peer, and from which.

#include "core/gateway/value_pull_base.h"

namespace camphornotch {

namespace {

/// Time in which the process's own read of the store usually brings the values:
/// two round trips between regions and a large value on a thin link.
constexpr Millis OwnReadTime{200};
/// Additional time before a peer of another region is asked.
constexpr Millis FarPeerDelay{200};
/// Time for a peer's answer; after that another peer is asked.
constexpr Millis AnswerTime{500};

} // namespace

bool ValuePull::onOffer(const ValueOffer &Offer, int64_t HaveOffset,
                        Millis Now) {
  const bool All = this->WantsAll && !this->AskedForAll.contains(Offer.Peer);
  if (All)
    HaveOffset = -1;
  if (Offer.Offset <= HaveOffset)
    return false;
  if (!this->Behind || HaveOffset > this->BehindOffset) {
    this->Behind = true;
    this->BehindSince = Now;
    this->BehindOffset = HaveOffset;
    this->Asked = HostId{};
  }
  const Millis Wait = Offer.Near ? OwnReadTime : OwnReadTime + FarPeerDelay;
  if (Now - this->BehindSince < Wait)
    return false;
  const bool Pending = !this->Asked.Value.empty();
  if (Pending && Now - this->AskedAt < AnswerTime)
    return false;
  this->Asked = Offer.Peer;
  this->AskedAt = Now;
  this->AskedAll = All;
  if (All)
    this->AskedForAll.insert(Offer.Peer);
  return true;
}

void ValuePull::wantAll() {
  this->WantsAll = true;
  this->AskedForAll.clear();
}

void ValuePull::onPeerLost(const HostId &Peer) {
  if (this->Asked == Peer)
    this->Asked = HostId{};
}

void ValuePull::onAnswer(const HostId &Peer, bool HasNew) {
  if (this->Asked == Peer && this->AskedAll && HasNew)
    this->WantsAll = false;
  this->onPeerLost(Peer);
}

} // namespace camphornotch
