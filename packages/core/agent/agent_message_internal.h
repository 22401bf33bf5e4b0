/// @file
/// Puts each kind of message that an agent sends into a PeerMessage.

#ifndef CAMPHORNOTCH_CORE_AGENT_AGENT_MESSAGE_INTERNAL_H
#define CAMPHORNOTCH_CORE_AGENT_AGENT_MESSAGE_INTERNAL_H

#include "core/agent/agent_base.h"

namespace camphornotch {

/// @param Chunk a part of the output.
/// @return the message.
inline wire::PeerMessage wrap(const wire::WorkChunk &Chunk) {
  wire::PeerMessage Message;
  Message.__set_WorkChunkMsg(Chunk);
  return Message;
}

/// @param Finished the end of the work.
/// @return the message.
inline wire::PeerMessage wrap(const wire::WorkFinished &Finished) {
  wire::PeerMessage Message;
  Message.__set_WorkFinishedMsg(Finished);
  return Message;
}

/// @param Refused the end of the work.
/// @return the message.
inline wire::PeerMessage wrap(const wire::WorkRefused &Refused) {
  wire::PeerMessage Message;
  Message.__set_WorkRefusedMsg(Refused);
  return Message;
}

/// @param Report a crash.
/// @return the message.
inline wire::PeerMessage wrap(const wire::CrashReport &Report) {
  wire::PeerMessage Message;
  Message.__set_CrashReportMsg(Report);
  return Message;
}

template <typename MessageT>
void AgentController::tell(const HostId &Peer, const MessageT &Message,
                           Actions &Out) {
  Out.emplace_back(TellPeer{Peer, wrap(Message)});
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_AGENT_MESSAGE_INTERNAL_H
