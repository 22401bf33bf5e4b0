/// @file
/// Has the agent's boot recorded, and asks for its standing after a pause.

#include "core/agent/boot_base.h"

#include "wire/codec_func.h"

#include <utility>

namespace camphornotch {

BootRecorder::BootRecorder(wire::BootRecord Record, Millis Timeout)
    : Record(std::move(Record)), Timeout(Timeout) {}

void BootRecorder::onUp(const HostId &Peer) { this->Peers.insert(Peer); }

void BootRecorder::onDown(const HostId &Peer) {
  this->Peers.erase(Peer);
  if (Peer == this->Asked)
    this->GiveUpAt = Millis{0};
}

void BootRecorder::onPaused() {
  if (this->Phase != BootPhase::Standing)
    return;
  this->Phase = BootPhase::InDoubt;
  this->GiveUpAt = Millis{0};
}

bool BootRecorder::onReply(const wire::AppendReply &Reply) {
  if (this->Phase != BootPhase::Recording || !Reply.Committed ||
      Reply.Offsets.empty())
    return false;
  this->Fence = LogOffset{Reply.Offsets.front()};
  this->Phase = BootPhase::Standing;
  return true;
}

void BootRecorder::onReply(const wire::StandingReply &Reply) {
  // An answer to an earlier question says how it stood before the pause.
  if (this->Phase != BootPhase::InDoubt || Reply.Id != this->Number)
    return;
  if (Reply.Boot == this->Record.Boot) {
    this->Phase = BootPhase::Standing;
    return;
  }
  // An entry that is behind names an earlier boot: ask another one.
  if (Reply.FencingNumber < this->Fence.Value) {
    this->GiveUpAt = Millis{0};
    return;
  }
  this->Phase = BootPhase::Replaced;
}

bool BootRecorder::needsEntry() const {
  return this->Phase == BootPhase::Recording ||
         this->Phase == BootPhase::InDoubt;
}

std::optional<EntryRequest> BootRecorder::next(Millis Now) {
  if (!this->needsEntry() || this->Peers.empty() || Now < this->GiveUpAt)
    return std::nullopt;
  const auto After = this->Peers.upper_bound(this->Asked);
  this->Asked = After == this->Peers.end() ? *this->Peers.begin() : *After;
  this->GiveUpAt = Now + this->Timeout;
  ++this->Number;
  return EntryRequest{this->Asked, this->Phase == BootPhase::Recording
                                       ? this->appendRequest()
                                       : this->standingQuery()};
}

Millis BootRecorder::nextDeadline() const {
  if (!this->needsEntry() || this->Peers.empty())
    return Never;
  return this->GiveUpAt;
}

wire::PeerMessage BootRecorder::appendRequest() const {
  wire::LogRecord Log;
  Log.WriterBoot = this->Record.Boot;
  // Always the same sequence: of several copies in the log one counts.
  Log.Sequence = 1;
  Log.__set_Boot(this->Record);
  wire::AppendRequest Request;
  Request.Id = this->Number;
  Request.Records.push_back(encodeRecord(Log));
  wire::PeerMessage Message;
  Message.__set_AppendRequestMsg(Request);
  return Message;
}

wire::PeerMessage BootRecorder::standingQuery() const {
  wire::StandingQuery Query;
  Query.Id = this->Number;
  Query.Endpoint = this->Record.Endpoint;
  wire::PeerMessage Message;
  Message.__set_StandingQueryMsg(Query);
  return Message;
}

} // namespace camphornotch
