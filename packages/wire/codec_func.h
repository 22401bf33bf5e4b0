/// @file
/// Thrift compact encoding of messages and records, and framing of messages.

#ifndef CAMPHORNOTCH_WIRE_CODEC_FUNC_H
#define CAMPHORNOTCH_WIRE_CODEC_FUNC_H

#include "base/error_type.h"
#include "camphornotch_types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphornotch {

/// Bytes of the length in front of each framed message, big-endian.
inline constexpr size_t FrameHeaderBytes = 4;
/// Largest message accepted from a peer, without its header.
inline constexpr size_t MaxFrameBytes = size_t{16} << 20;

/// @param Message the message.
/// @return its encoding, without a header.
std::string encodeMessage(const wire::PeerMessage &Message);

/// @param Message the message.
/// @return header and encoding, ready to send.
std::string encodeFrame(const wire::PeerMessage &Message);

/// @param Bytes one message without its header.
/// @return the message, or what is wrong with it.
Result<wire::PeerMessage> decodeMessage(std::string_view Bytes);

/// @param Record the record.
/// @return its encoding, as the log keeps it.
std::string encodeRecord(const wire::LogRecord &Record);

/// @param Bytes one record as the log keeps it.
/// @return the record, or what is wrong with it.
Result<wire::LogRecord> decodeRecord(std::string_view Bytes);

/// @param State the state of a snapshot.
/// @return its encoding, as a snapshot record carries it.
std::string encodeSnapshotState(const wire::SnapshotState &State);

/// @param Bytes the state that a snapshot record carries.
/// @return the state, or what is wrong with it.
Result<wire::SnapshotState> decodeSnapshotState(std::string_view Bytes);

/// @param Record the record.
/// @return its encoding, as a partition keeps it.
std::string encodeBatchRecord(const wire::BatchRecord &Record);

/// @param Bytes one record of a partition.
/// @return the record, or what is wrong with it.
Result<wire::BatchRecord> decodeBatchRecord(std::string_view Bytes);

/// @param Record the record.
/// @return its encoding, as a partition keeps it.
std::string encodeLeftovers(const wire::LeftoverRecord &Record);

/// @param Bytes one record of leftovers.
/// @return the record, or what is wrong with it.
Result<wire::LeftoverRecord> decodeLeftovers(std::string_view Bytes);

/// Encodes a record of the duties' partition.
std::string encodeDuty(const wire::DutyRecord &Record);

/// @return the record, or what is wrong with it.
Result<wire::DutyRecord> decodeDuty(std::string_view Bytes);

/// Encodes a record of the topic of suspects.
std::string encodeSuspect(const wire::SuspectRecord &Record);

/// @return the record, or what is wrong with it.
Result<wire::SuspectRecord> decodeSuspect(std::string_view Bytes);

/// Encodes a record of the topic of streams.
std::string encodeStreamOrigin(const wire::StreamOriginRecord &Record);

/// @return the record, or what is wrong with it.
Result<wire::StreamOriginRecord> decodeStreamOrigin(std::string_view Bytes);

/// Looks for one whole frame at the start of received bytes.
/// @param Bytes what has been received and not yet consumed.
/// @return the message's bytes, nothing if more are needed, or an error if
///         the length is over the limit.
Result<std::optional<std::string_view>> takeFrame(std::string_view Bytes);

} // namespace camphornotch

#endif // CAMPHORNOTCH_WIRE_CODEC_FUNC_H
