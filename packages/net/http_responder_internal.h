/// @file
/// The part of an HTTP exchange that lives as long as h2o's request.

#ifndef CAMPHORNOTCH_NET_HTTP_RESPONDER_INTERNAL_H
#define CAMPHORNOTCH_NET_HTTP_RESPONDER_INTERNAL_H

#include "net/h2o_internal.h"
#include "net/http_server_base.h"
#include "net/limited_connection_internal.h"

#include <string>
#include <unordered_set>

namespace camphornotch {

class HttpResponder;

/// The open requests of one server.
struct HttpOpenRequests {
  /// Responders of requests that h2o has not disposed of.
  std::unordered_set<HttpResponder *> Open;
  /// Called when the last one is disposed of; optional.
  std::function<void()> OnEmpty;
};

/// Sends one response. Allocated in the request's memory pool, so that it and
/// the bytes being written live until h2o disposes of the request.
class HttpResponder {
public:
  /// @param Requests must outlive the responder.
  /// @return the responder, owned by the request.
  static HttpResponder *make(h2o_req_t *Request, HttpOpenRequests *Requests);

  /// Sends the whole response.
  void answer(const HttpResponse &Response);

  /// Sends the head and first part of a streamed response.
  void start(HttpResponse Response);

  /// Queues the next part of a streamed response.
  void write(std::string_view Chunk);

  /// Ends a streamed response.
  /// @param Last whether it is complete or aborted.
  void end(h2o_send_state_t Last);

  /// Counts the request and its response under the limits of the process.
  /// @param Connection the request's connection.
  /// @param BodyBytes bytes of its body that the connection no longer holds.
  void attach(std::shared_ptr<ClientLimits> Limits,
              LimitedConnection &Connection, size_t BodyBytes);

  /// @return bytes that h2o has not yet written.
  size_t unsentBytes() const {
    return this->Queued.size() + this->Writing.size();
  }

  /// @return the connection of the request.
  h2o_socket_t *socket() const;

  /// @return whether the client has closed its HTTP/1.1 connection.
  bool clientClosed() const;

  /// Ends the request of a client that has closed its connection.
  void endDisconnected();

  /// @return whether the owner has passed on the whole response.
  bool ended() const { return this->Ended; }

  /// Called when h2o disposes of the request; the responder is destroyed then.
  std::function<void()> OnDisposed;
  /// Called each time all queued bytes have been sent.
  std::function<void()> OnDrained;

private:
  /// h2o's callback object, extended by a pointer to the responder.
  struct Generator {
    /// h2o's part; must be first.
    h2o_generator_t Super;
    HttpResponder *Self;
  };

  /// h2o's callback when it is ready for the next part.
  /// @param Base the Generator.
  static void onProceed(h2o_generator_t *Base, h2o_req_t *);
  /// h2o's callback when the request's memory is freed.
  /// @param Memory the responder.
  static void onDispose(void *Memory);
  /// Copies status and headers into h2o's request.
  void setHead(const HttpResponse &Response);
  /// Passes the queued bytes to h2o if it is ready for them.
  void sendNext();
  /// Sends a whole response in parts, so that its progress is known.
  void answerInParts(const HttpResponse &Response);
  void sendNextPart();
  /// Reports the unsent bytes to the limits.
  void countUnread(bool IsProgress);

  h2o_req_t *Request = nullptr;
  HttpOpenRequests *Requests = nullptr;
  Generator Source{};
  /// Bytes not yet passed to h2o.
  std::string Queued;
  /// Bytes that h2o is writing.
  std::string Writing;
  /// A whole response that is sent in parts; Sent of its bytes were passed on.
  std::string Whole;
  size_t Sent = 0;
  bool IsInParts = false;
  std::shared_ptr<ClientLimits> Limits;
  ConnectionId Connection;
  /// Valid while the limits know the connection.
  LimitedConnection *Limited = nullptr;
  /// Bytes that were reported to the limits.
  int64_t Counted = 0;
  /// Whether h2o is writing and will call onProceed().
  bool Sending = false;
  /// Whether start() was called.
  bool Streaming = false;
  /// Whether the owner has passed on the whole response.
  bool Ended = false;
  /// Whether the last part was passed to h2o.
  bool LastSent = false;
  /// The state to send with the next part: in progress, complete or aborted.
  h2o_send_state_t Last = H2O_SEND_STATE_IN_PROGRESS;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_RESPONDER_INTERNAL_H
