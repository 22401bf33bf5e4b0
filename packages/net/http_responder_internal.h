/// @file
/// The half of an exchange that lives as long as h2o's request.

#ifndef CAMPHORNOTCH_NET_HTTP_RESPONDER_INTERNAL_H
#define CAMPHORNOTCH_NET_HTTP_RESPONDER_INTERNAL_H

#include "net/h2o_internal.h"
#include "net/http_server_base.h"

#include <string>
#include <unordered_set>

namespace camphornotch {

class HttpResponder;

/// What is known of all requests of one server.
struct HttpOpenRequests {
  /// The responders that h2o has not disposed of.
  std::unordered_set<HttpResponder *> Open;
  /// Called when the last one is disposed of; may be empty.
  std::function<void()> OnEmpty;
};

/// Sends one answer. Made in the request's memory pool, so that it and the
/// bytes being written live until h2o is done with the request.
class HttpResponder {
public:
  /// @param Request h2o's request.
  /// @param Requests the server's set, which must outlive the responder.
  /// @return the responder, owned by the request.
  static HttpResponder *make(h2o_req_t *Request, HttpOpenRequests *Requests);

  /// Answers whole.
  /// @param Response the answer.
  void answer(const HttpResponse &Response);

  /// Sends the head of a streamed answer.
  /// @param Response the head, with the first part.
  void start(HttpResponse Response);

  /// @param Chunk a further part.
  void write(std::string_view Chunk);

  /// Ends a streamed answer, or breaks it off.
  /// @param Last how it ends.
  void end(h2o_send_state_t Last);

  /// @return bytes not yet taken by the socket.
  size_t unsentBytes() const {
    return this->Waiting.size() + this->Writing.size();
  }

  /// @return whether the client closed its connection, as far as seen.
  bool clientClosed() const;

  /// Ends the request of a client that is gone.
  void giveUp();

  /// @return whether the whole answer was handed over.
  bool ended() const { return this->Ended; }

  /// Called when h2o disposes of the request; the owner forgets us then.
  std::function<void()> OnDisposed;
  /// Called when all that was written has been sent.
  std::function<void()> OnDrained;

private:
  /// What h2o calls; the responder is found behind it.
  struct Generator {
    /// h2o's part; must be first.
    h2o_generator_t Super;
    /// The responder.
    HttpResponder *Self;
  };

  /// h2o asks for more.
  /// @param Plain our generator.
  static void onProceed(h2o_generator_t *Plain, h2o_req_t *);
  /// h2o is done with the request.
  /// @param Memory the responder.
  static void onDispose(void *Memory);
  /// Copies status and headers into the request.
  /// @param Response the answer.
  void setHead(const HttpResponse &Response);
  /// Hands the waiting bytes to h2o.
  void pump();

  /// h2o's request.
  h2o_req_t *Request = nullptr;
  /// The server's set.
  HttpOpenRequests *Requests = nullptr;
  /// What h2o calls.
  Generator Source{};
  /// Bytes not yet handed to h2o.
  std::string Waiting;
  /// Bytes that h2o is writing.
  std::string Writing;
  /// Whether h2o is writing and will ask for more.
  bool Busy = false;
  /// Whether a streamed answer was begun.
  bool Streaming = false;
  /// Whether the answer was wholly handed over by the owner.
  bool Ended = false;
  /// Whether the last part went to h2o.
  bool LastSent = false;
  /// How the answer ends.
  h2o_send_state_t Last = H2O_SEND_STATE_IN_PROGRESS;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_RESPONDER_INTERNAL_H
