/// @file
/// Sends one HTTP response through h2o.

#include "net/http_responder_internal.h"

#include <algorithm>
#include <cassert>
#include <new>
#include <sys/socket.h>
#include <utility>

namespace camphornotch {

namespace {

/// h2o's number for HTTP/2.0.
constexpr int VersionHttp2 = 0x200;
/// Status for h2o when the client has closed the connection; nobody receives
/// it.
constexpr int StatusClientGone = 499;
/// A response above this size is sent in parts of it under the limits of the
/// process.
constexpr size_t PartBytes = size_t{64} << 10;

} // namespace

HttpResponder *HttpResponder::make(h2o_req_t *Request,
                                   HttpOpenRequests *Requests) {
  void *Memory = h2o_mem_alloc_shared(&Request->pool, sizeof(HttpResponder),
                                      HttpResponder::onDispose);
  auto *Self = new (Memory) HttpResponder();
  Self->Request = Request;
  Self->Requests = Requests;
  Self->Source.Super.proceed = HttpResponder::onProceed;
  Self->Source.Super.stop = nullptr;
  Self->Source.Self = Self;
  Requests->Open.insert(Self);
  return Self;
}

void HttpResponder::onDispose(void *Memory) {
  auto *Self = static_cast<HttpResponder *>(Memory);
  HttpOpenRequests *Requests = Self->Requests;
  const std::function<void()> Handler = std::move(Self->OnDisposed);
  Requests->Open.erase(Self);
  Self->Writing.clear();
  Self->Queued.clear();
  Self->Whole.clear();
  Self->Sent = 0;
  Self->countUnread(true);
  if (Self->Limits != nullptr &&
      Self->Limits->controller().isKnown(Self->Connection)) {
    Self->Limited->requestEnded();
  }
  Self->~HttpResponder();
  if (Handler)
    Handler();
  if (Requests->Open.empty() && Requests->OnEmpty)
    Requests->OnEmpty();
}

void HttpResponder::setHead(const HttpResponse &Response) {
  h2o_mem_pool_t *Pool = &this->Request->pool;
  h2o_res_t &Head = this->Request->res;
  Head.status = Response.Status;
  Head.reason = "";
  if (this->Request->conn->ctx->shutdown_requested != 0)
    this->Request->http1_is_persistent = 0;
  if (!Response.ContentType.empty()) {
    const h2o_iovec_t Type = h2o_strdup(Pool, Response.ContentType.data(),
                                        Response.ContentType.size());
    h2o_add_header(Pool, &Head.headers, H2O_TOKEN_CONTENT_TYPE, nullptr,
                   Type.base, Type.len);
  }
  for (const HttpHeader &Header : Response.Headers) {
    h2o_iovec_t Name = h2o_strdup(Pool, Header.Name.data(), Header.Name.size());
    for (size_t Index = 0; Index < Name.len; ++Index)
      Name.base[Index] = static_cast<char>(h2o_tolower(Name.base[Index]));
    const h2o_iovec_t Value =
        h2o_strdup(Pool, Header.Value.data(), Header.Value.size());
    h2o_add_header_by_str(Pool, &Head.headers, Name.base, Name.len, 1, nullptr,
                          Value.base, Value.len);
  }
}

void HttpResponder::attach(std::shared_ptr<ClientLimits> Limits,
                           LimitedConnection &Connection, size_t BodyBytes) {
  this->Limits = std::move(Limits);
  this->Connection = Connection.id();
  this->Limited = &Connection;
  Connection.requestBegan(static_cast<int64_t>(BodyBytes));
}

void HttpResponder::countUnread(bool IsProgress) {
  if (this->Limits == nullptr)
    return;
  const auto Now = static_cast<int64_t>(this->unsentBytes() +
                                        this->Whole.size() - this->Sent);
  const int64_t Added = Now - std::exchange(this->Counted, Now);
  // A stream holds a bounded part and is never ended for a slow client.
  if (this->IsInParts)
    this->Limits->unread(this->Connection, Added, IsProgress);
  else
    this->Limits->hold(Added);
}

void HttpResponder::answerInParts(const HttpResponse &Response) {
  this->Streaming = true;
  this->IsInParts = true;
  this->Whole = Response.Body;
  h2o_start_response(this->Request, &this->Source.Super);
  this->sendNextPart();
}

void HttpResponder::sendNextPart() {
  this->countUnread(true);
  const size_t Bytes = std::min(PartBytes, this->Whole.size() - this->Sent);
  h2o_iovec_t Part =
      toVector(std::string_view(this->Whole).substr(this->Sent, Bytes));
  this->Sent += Bytes;
  const bool IsLast = this->Sent == this->Whole.size();
  // After the last part the responder may have been destroyed.
  h2o_send(this->Request, &Part, 1,
           IsLast ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void HttpResponder::answer(const HttpResponse &Response) {
  assert(!this->Streaming && !this->Ended);
  this->Ended = true;
  this->LastSent = true;
  this->setHead(Response);
  this->Request->res.content_length = Response.Body.size();
  const bool IsHead = toView(this->Request->input.method) == "HEAD";
  if (this->Limits != nullptr && Response.Body.size() > PartBytes && !IsHead) {
    this->answerInParts(Response);
    return;
  }
  h2o_send_inline(this->Request, Response.Body.data(), Response.Body.size());
}

void HttpResponder::start(HttpResponse Response) {
  assert(!this->Streaming && !this->Ended);
  this->Streaming = true;
  this->setHead(Response);
  this->Writing = std::move(Response.Body);
  this->Sending = true;
  h2o_start_response(this->Request, &this->Source.Super);
  h2o_iovec_t Part = toVector(this->Writing);
  h2o_send(this->Request, &Part, this->Writing.empty() ? 0 : 1,
           H2O_SEND_STATE_IN_PROGRESS);
}

void HttpResponder::write(std::string_view Chunk) {
  assert(this->Streaming && !this->Ended);
  this->Queued += Chunk;
  this->countUnread(false);
  this->sendNext();
}

void HttpResponder::end(h2o_send_state_t Last) {
  if (this->Ended)
    return;
  assert(this->Streaming);
  this->Ended = true;
  this->Last = Last;
  this->sendNext();
}

void HttpResponder::sendNext() {
  if (this->Sending || this->LastSent)
    return;
  if (this->Queued.empty() && !this->Ended)
    return;
  this->Writing.swap(this->Queued);
  this->Queued.clear();
  this->Sending = true;
  this->LastSent = this->Ended;
  h2o_iovec_t Part = toVector(this->Writing);
  // After the last part the responder may have been destroyed.
  h2o_send(this->Request, &Part, this->Writing.empty() ? 0 : 1, this->Last);
}

void HttpResponder::onProceed(h2o_generator_t *Base, h2o_req_t *) {
  HttpResponder *Self = reinterpret_cast<Generator *>(Base)->Self;
  if (!Self->Whole.empty()) {
    Self->sendNextPart();
    return;
  }
  Self->Sending = false;
  Self->Writing.clear();
  if (Self->Limits != nullptr && Self->Writing.capacity() > PartBytes)
    Self->Writing.shrink_to_fit();
  Self->countUnread(true);
  const bool Drained = Self->Queued.empty() && !Self->Ended;
  if (Drained && Self->OnDrained)
    // Copied, because the callback may destroy the exchange.
    std::function<void()>(Self->OnDrained)();
  else
    Self->sendNext();
}

h2o_socket_t *HttpResponder::socket() const {
  h2o_conn_t *Connection = this->Request->conn;
  return Connection->callbacks->get_socket(Connection);
}

bool HttpResponder::clientClosed() const {
  if (this->Request->version >= VersionHttp2 || this->LastSent)
    return false; // h2o reads on and disposes of the request itself.
  char Byte = 0;
  const ssize_t Got = recv(h2o_socket_get_fd(this->socket()), &Byte,
                           sizeof(Byte), MSG_PEEK | MSG_DONTWAIT);
  const bool WouldBlock = errno == EAGAIN || errno == EWOULDBLOCK;
  return Got == 0 || (Got < 0 && !WouldBlock);
}

void HttpResponder::endDisconnected() {
  this->Request->http1_is_persistent = 0;
  if (this->Streaming) {
    this->Queued.clear();
    this->end(H2O_SEND_STATE_ERROR);
    return;
  }
  this->answer(HttpResponse{StatusClientGone, "", {}, ""});
}

} // namespace camphornotch
