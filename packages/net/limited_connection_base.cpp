/// @file
/// A server's connection under the limits of the process.

#include "net/limited_connection_internal.h"

#include "net/head_watch_internal.h"

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphornotch {

namespace {

/// The most bytes read from one connection in one turn of the loop.
constexpr size_t MaxReadBytes = size_t{256} << 10;
/// The least room for a read, as h2o has it.
constexpr size_t MinReadBytes = 4096;
/// Size of a socket's kernel buffers; the kernel doubles it. A connection with
/// a round trip of 24 ms, the longest of the sites, still gets 85 Mbit/s.
constexpr int KernelBufferBytes = 256 << 10;
constexpr int EndpointBufferBytes = 96 << 10;
/// A body below this size stays in h2o's buffer until the end of its request.
constexpr size_t MinMovedBytes = size_t{256} << 10;
/// Bytes of a body that exist twice while it is moved.
constexpr size_t MovedPieceBytes = size_t{1} << 20;
/// Unread bytes make the kernel reset the connection when it is closed, and
/// the client may lose the refusal.
constexpr size_t MaxDrainedBytes = size_t{1} << 20;

/// @return the client's IPv4 address; 0: unknown.
uint32_t clientAddress(h2o_socket_t *Socket) {
  sockaddr_storage Peer = {};
  auto *Base = reinterpret_cast<sockaddr *>(&Peer);
  if (h2o_socket_getpeername(Socket, Base) == 0 || Peer.ss_family != AF_INET)
    return 0;
  return reinterpret_cast<sockaddr_in *>(&Peer)->sin_addr.s_addr;
}

/// @return what a request takes on a multiplexed connection besides its body,
///   about: its head, and nine bytes for each frame of 16 KiB.
int64_t framingBytes(int64_t BodyBytes) {
  constexpr int64_t HeadBytes = 256;
  return HeadBytes + BodyBytes / 1024;
}

/// Gives the whole pages of a range back to the system; they read as zeros.
void dropPages(char *Begin, const char *End) {
  const auto Page = static_cast<uintptr_t>(sysconf(_SC_PAGESIZE));
  const uintptr_t First =
      (reinterpret_cast<uintptr_t>(Begin) + Page - 1) / Page * Page;
  const uintptr_t Last = reinterpret_cast<uintptr_t>(End) / Page * Page;
  if (First < Last)
    madvise(reinterpret_cast<void *>(First), Last - First, MADV_DONTNEED);
}

} // namespace

std::string moveBody(const h2o_iovec_t &Body) {
  if (Body.len < MinMovedBytes)
    return std::string(toView(Body));
  std::string Moved;
  Moved.reserve(Body.len);
  char *Dropped = Body.base;
  for (size_t At = 0; At < Body.len; At += MovedPieceBytes) {
    const size_t Piece = std::min(MovedPieceBytes, Body.len - At);
    Moved.append(Body.base + At, Piece);
    const char *End = Body.base + At + Piece;
    dropPages(Dropped, End);
    Dropped = Body.base + At;
  }
  return Moved;
}

void limitEndpointBuffers(int Fd) {
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &EndpointBufferBytes,
             sizeof(EndpointBufferBytes));
}

void limitKernelBuffers(int Fd) {
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &KernelBufferBytes,
             sizeof(KernelBufferBytes));
  setsockopt(Fd, SOL_SOCKET, SO_SNDBUF, &KernelBufferBytes,
             sizeof(KernelBufferBytes));
}

std::unique_ptr<LimitedConnection>
LimitedConnection::admit(h2o_socket_t *Socket, ClientPort Port,
                         std::shared_ptr<ClientLimits> Limits,
                         const LimitRefusals &Refusals) {
  ClientLimits &All = *Limits;
  std::unique_ptr<LimitedConnection> Made(
      new LimitedConnection(Socket, std::move(Limits), Refusals));
  LimitedConnection *Raw = Made.get();
  Made->Id = All.open(Port, clientAddress(Socket),
                      ClientLimits::ConnectionHandlers{
                          [Raw](LimitReason Reason) { Raw->end(Reason); },
                          [Raw] { return Raw->takeReads(); }});
  if (Made->Id == ConnectionId{})
    return nullptr;
  limitKernelBuffers(h2o_socket_get_fd(Socket));
  return Made;
}

LimitedConnection::LimitedConnection(h2o_socket_t *Socket,
                                     std::shared_ptr<ClientLimits> Limits,
                                     const LimitRefusals &Refusals)
    : Socket(Socket), Limits(std::move(Limits)), Refusals(Refusals) {}

LimitedConnection::~LimitedConnection() { this->Limits->close(this->Id); }

bool LimitedConnection::takeReads() {
  h2o_socket_cb Current = this->Socket->_cb.read;
  if (this->FirstHandler == nullptr) {
    this->FirstHandler = Current;
    h2o_socket_dont_read(this->Socket, 1);
  }
  if (Current == nullptr)
    return this->OpenRequests > 0;
  if (Current != LimitedConnection::onReadable) {
    this->Handler = Current;
    this->Socket->_cb.read = LimitedConnection::onReadable;
    if (this->isMultiplexed())
      this->Limits->multiplexes(this->Id);
  }
  this->Limits->input(this->Id, this->inputBytes(), false);
  return true;
}

void LimitedConnection::requestEnded() {
  --this->OpenRequests;
  this->Limits->requestEnded(this->Id, 0);
  // h2o sets its callback and drops the request's bytes after this.
  this->Limits->resumeLater(this->Id);
}

void LimitedConnection::requestBegan(int64_t BodyBytes) {
  ++this->OpenRequests;
  this->Limits->requestBegan(this->Id);
  // The head's bytes stay with the connection until the request ends.
  if (this->isMultiplexed())
    this->MultiplexedBytes = std::max<int64_t>(
        0, this->MultiplexedBytes - BodyBytes - framingBytes(BodyBytes));
  const int64_t Left = this->isMultiplexed() ? this->inputBytes()
                       : static_cast<size_t>(BodyBytes) < MinMovedBytes
                           ? this->inputBytes()
                           : this->inputBytes() - BodyBytes;
  this->Limits->input(this->Id, Left, false);
}

int64_t LimitedConnection::inputBytes() const {
  return this->isMultiplexed()
             ? this->MultiplexedBytes
             : static_cast<int64_t>(this->Socket->input->size);
}

const char *LimitedConnection::readSome(h2o_socket_t *Socket, int64_t &Count) {
  const h2o_iovec_t Room = h2o_buffer_reserve(&Socket->input, MinReadBytes);
  if (Room.base == nullptr)
    return h2o_socket_error_out_of_memory;
  const ssize_t Got = read(h2o_socket_get_fd(Socket), Room.base,
                           std::min(Room.len, MaxReadBytes));
  if (Got == 0)
    return h2o_socket_error_closed;
  if (Got < 0)
    return errno == EAGAIN || errno == EINTR ? nullptr : h2o_socket_error_io;
  Count = Got;
  Socket->input->size += static_cast<size_t>(Got);
  Socket->bytes_read = static_cast<size_t>(Got);
  return nullptr;
}

void LimitedConnection::onReadable(h2o_socket_t *Socket, const char *Failure) {
  LimitedConnection *Self = HeadWatch::limitedOf(Socket);
  h2o_socket_cb Handler = Self->Handler;
  int64_t Count = 0;
  if (Failure == nullptr)
    Failure = Self->IsEnded ? h2o_socket_error_closed
                            : LimitedConnection::readSome(Socket, Count);
  if (Failure != nullptr) {
    Handler(Socket, Failure);
    return;
  }
  const std::shared_ptr<ClientLimits> Limits = Self->Limits;
  const ConnectionId Id = Self->Id;
  if (Self->isMultiplexed())
    Self->MultiplexedBytes += Count;
  Limits->input(Id, Self->inputBytes(), Count > 0);
  // The limits may have ended this connection, and then h2o its memory.
  if (!Limits->controller().isKnown(Id))
    return;
  Handler(Socket, nullptr);
  if (!Limits->controller().isKnown(Id) ||
      Socket->_cb.read == LimitedConnection::onReadable)
    return;
  // h2o stops to read while it sends an interim response (100), and changes
  // its callback when the connection turns to HTTP/2.
  if (Socket->_cb.read != nullptr || Self->OpenRequests == 0)
    Limits->resumeLater(Id);
}

void LimitedConnection::end(LimitReason Reason) {
  this->IsEnded = true;
  const int Fd = h2o_socket_get_fd(this->Socket);
  const bool ReadsHere =
      this->Socket->_cb.read == LimitedConnection::onReadable;
  if (!ReadsHere || this->isMultiplexed()) {
    // h2o closes it when it reads or writes the next time. One with several
    // requests may be at work on another one.
    if (!ReadsHere)
      h2o_socket_dont_read(this->Socket, 0);
    shutdown(Fd, SHUT_RDWR);
    return;
  }
  const bool IsRefused =
      Reason == LimitReason::Incomplete || Reason == LimitReason::SlowRequest;
  if (IsRefused) {
    const std::string &Text = Reason == LimitReason::SlowRequest
                                  ? this->Refusals.Slow
                                  : this->Refusals.Incomplete;
    (void)!send(Fd, Text.data(), Text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    (void)!recv(Fd, nullptr, MaxDrainedBytes, MSG_DONTWAIT | MSG_TRUNC);
  }
  // h2o frees the connection.
  this->Handler(this->Socket, h2o_socket_error_closed);
}

} // namespace camphornotch
