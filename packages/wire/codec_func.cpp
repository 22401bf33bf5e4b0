/// @file
/// Thrift compact encoding; the one place where Thrift's exceptions end.

#include "wire/codec_func.h"

#include <memory>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace camphornotch {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Deepest nesting of a message; ours nest three levels.
constexpr int MaxDepth = 16;

/// @return limits that bound what a hostile encoding can make us allocate.
std::shared_ptr<TConfiguration> decodeLimits() {
  static const auto Limits = std::make_shared<TConfiguration>(
      static_cast<int>(MaxFrameBytes), static_cast<int>(MaxFrameBytes),
      MaxDepth);
  return Limits;
}

/// @tparam ValueT a generated struct.
/// @param Value what to encode.
/// @return its compact encoding.
template <typename ValueT> std::string encode(const ValueT &Value) {
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  Value.write(&Protocol);
  return Buffer->getBufferAsString();
}

/// @tparam ValueT a generated struct.
/// @param Bytes its compact encoding.
/// @return the struct, or a typed error.
template <typename ValueT> Result<ValueT> decode(std::string_view Bytes) {
  if (Bytes.size() > MaxFrameBytes)
    return Error{ErrorKind::TooLarge, "message over the size limit",
                 "send smaller messages"};
  // TMemoryBuffer takes a mutable pointer but only reads in OBSERVE mode.
  auto *Data = reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data()));
  try {
    const auto Buffer = std::make_shared<TMemoryBuffer>(
        Data, static_cast<uint32_t>(Bytes.size()), TMemoryBuffer::OBSERVE,
        decodeLimits());
    const auto Limit = static_cast<int32_t>(Bytes.size());
    TCompactProtocolT<TMemoryBuffer> Protocol(Buffer, Limit, Limit);
    ValueT Value;
    Value.read(&Protocol);
    return Value;
  } catch (const std::exception &Cause) {
    return Error{ErrorKind::BadInput,
                 std::string("undecodable message: ") + Cause.what(),
                 "run the same or neighbouring versions on both sides"};
  }
}

} // namespace

std::string encodeMessage(const wire::PeerMessage &Message) {
  return encode(Message);
}

std::string encodeFrame(const wire::PeerMessage &Message) {
  const std::string Body = encode(Message);
  const auto Length = static_cast<uint32_t>(Body.size());
  std::string Frame;
  Frame.reserve(FrameHeaderBytes + Body.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame.push_back(static_cast<char>((Length >> Shift) & 0xff));
  Frame += Body;
  return Frame;
}

Result<wire::PeerMessage> decodeMessage(std::string_view Bytes) {
  return decode<wire::PeerMessage>(Bytes);
}

std::string encodeRecord(const wire::LogRecord &Record) {
  return encode(Record);
}

Result<wire::LogRecord> decodeRecord(std::string_view Bytes) {
  return decode<wire::LogRecord>(Bytes);
}

std::string encodeSnapshotState(const wire::SnapshotState &State) {
  return encode(State);
}

Result<wire::SnapshotState> decodeSnapshotState(std::string_view Bytes) {
  return decode<wire::SnapshotState>(Bytes);
}

std::string encodeBatchRecord(const wire::BatchRecord &Record) {
  return encode(Record);
}

Result<wire::BatchRecord> decodeBatchRecord(std::string_view Bytes) {
  return decode<wire::BatchRecord>(Bytes);
}

std::string encodeLeftovers(const wire::LeftoverRecord &Record) {
  return encode(Record);
}

Result<wire::LeftoverRecord> decodeLeftovers(std::string_view Bytes) {
  return decode<wire::LeftoverRecord>(Bytes);
}

std::string encodeDuty(const wire::DutyRecord &Record) {
  return encode(Record);
}

Result<wire::DutyRecord> decodeDuty(std::string_view Bytes) {
  return decode<wire::DutyRecord>(Bytes);
}

std::string encodeSuspect(const wire::SuspectRecord &Record) {
  return encode(Record);
}

Result<wire::SuspectRecord> decodeSuspect(std::string_view Bytes) {
  return decode<wire::SuspectRecord>(Bytes);
}

std::string encodeStreamOrigin(const wire::StreamOriginRecord &Record) {
  return encode(Record);
}

Result<wire::StreamOriginRecord> decodeStreamOrigin(std::string_view Bytes) {
  return decode<wire::StreamOriginRecord>(Bytes);
}

Result<std::optional<std::string_view>> takeFrame(std::string_view Bytes) {
  if (Bytes.size() < FrameHeaderBytes)
    return std::optional<std::string_view>{};
  size_t Length = 0;
  for (size_t Index = 0; Index < FrameHeaderBytes; ++Index)
    Length = (Length << 8) | static_cast<uint8_t>(Bytes[Index]);
  if (Length > MaxFrameBytes)
    return Error{ErrorKind::TooLarge, "frame over the size limit",
                 "close the connection; the peer does not speak this protocol"};
  if (Bytes.size() - FrameHeaderBytes < Length)
    return std::optional<std::string_view>{};
  return std::optional(Bytes.substr(FrameHeaderBytes, Length));
}

} // namespace camphornotch
