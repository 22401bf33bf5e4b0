/// @file
/// A connection that carries length-prefixed messages.

#include "net/link_connection_internal.h"

#include "net/limited_connection_internal.h"
#include "wire/codec_func.h"

#include <cassert>
#include <utility>

namespace camphornotch {

namespace {

/// Far more than a Hello has: names and numbers.
constexpr size_t MaxHelloBytes = size_t{64} << 10;

} // namespace

LinkConnection::~LinkConnection() { this->close(); }

void LinkConnection::attach(h2o_socket_t *Socket) {
  assert(this->Socket == nullptr);
  this->Socket = Socket;
  Socket->data = this;
  if (this->HasLimit)
    limitKernelBuffers(h2o_socket_get_fd(Socket));
  h2o_socket_read_start(Socket, LinkConnection::onRead);
  this->flush();
}

bool LinkConnection::send(const wire::PeerMessage &Message,
                          size_t MaxQueuedBytes) {
  if (this->Socket == nullptr || this->queuedBytes() > MaxQueuedBytes)
    return false;
  this->Queued += encodeFrame(Message);
  ++this->Counters->MessagesOut;
  if (this->FlushPlanned)
    return true;
  this->FlushPlanned = true;
  this->Events.defer([Weak = this->weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self == nullptr)
      return;
    Self->FlushPlanned = false;
    Self->flush();
  });
  return true;
}

void LinkConnection::flush() {
  const bool Idle = this->Socket != nullptr && this->Writing.empty();
  if (!Idle || this->Queued.empty())
    return;
  this->Writing.swap(this->Queued);
  this->Counters->BytesOut += this->Writing.size();
  h2o_iovec_t Part = toVector(this->Writing);
  h2o_socket_write(this->Socket, &Part, 1, LinkConnection::onWritten);
}

void LinkConnection::onWritten(h2o_socket_t *Socket, const char *Failure) {
  const auto Self =
      static_cast<LinkConnection *>(Socket->data)->shared_from_this();
  Self->Writing.clear();
  if (Failure != nullptr)
    Self->fail(Failure);
  else
    Self->flush();
}

std::string
LinkConnection::takeMessages(std::vector<wire::PeerMessage> &Messages) {
  h2o_buffer_t *&Input = this->Socket->input;
  std::string_view Bytes(Input->bytes, Input->size);
  std::string InputError;
  while (InputError.empty()) {
    auto Frame = takeFrame(Bytes);
    if (!Frame) {
      InputError = Frame.error().Message;
      break;
    }
    if (!Frame.value())
      break;
    auto Message = decodeMessage(*Frame.value());
    if (Message)
      Messages.push_back(std::move(Message.value()));
    else
      InputError = Message.error().Message;
    Bytes.remove_prefix(FrameHeaderBytes + Frame.value()->size());
  }
  h2o_buffer_consume(&Input, Input->size - Bytes.size());
  return InputError;
}

void LinkConnection::onRead(h2o_socket_t *Socket, const char *Failure) {
  const auto Self =
      static_cast<LinkConnection *>(Socket->data)->shared_from_this();
  if (Failure != nullptr) {
    Self->fail(Failure);
    return;
  }
  const size_t Before = Socket->input->size;
  std::vector<wire::PeerMessage> Messages;
  std::string InputError = Self->takeMessages(Messages);
  if (!Messages.empty())
    Self->HasLimit = false;
  if (Self->HasLimit && Socket->input->size > MaxHelloBytes)
    InputError = "the first message is too long for a Hello";
  Self->Counters->BytesIn += Before - Socket->input->size;
  Self->Counters->MessagesIn += Messages.size();
  if (!Messages.empty() && Self->OnMessages)
    Self->OnMessages(std::move(Messages));
  if (InputError.empty() || Self->closed())
    return;
  ++Self->Counters->BadFrames;
  Self->fail(InputError);
}

void LinkConnection::fail(const std::string &Cause) {
  this->close();
  if (this->OnClosed)
    this->OnClosed(Cause);
}

void LinkConnection::close() {
  if (this->Socket == nullptr)
    return;
  h2o_socket_close(this->Socket);
  this->Socket = nullptr;
  this->Queued.clear();
}

} // namespace camphornotch
