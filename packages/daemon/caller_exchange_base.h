/// @file
/// One caller's request with its answer, wherever the caller is connected.

#ifndef CAMPHORNOTCH_DAEMON_CALLER_EXCHANGE_BASE_H
#define CAMPHORNOTCH_DAEMON_CALLER_EXCHANGE_BASE_H

#include "base/refusal_type.h"
#include "core/filters/request_context_type.h"
#include "net/http_server_base.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace camphornotch {

/// A whole answer.
struct CallerAnswer {
  /// The HTTP status.
  int Status = 200;
  /// The type of the body.
  std::string ContentType = "application/json";
  /// The body.
  std::string Body;
  /// For refusals: when a retry may succeed; 0: never.
  int64_t RetryAfterMs = 0;
};

/// Sends the answer of a request that another entry forwarded.
using ForwardSink = std::function<void(CallerAnswer)>;

/// What is told when an exchange ends.
struct ExchangeEnd {
  /// Its request.
  const RequestContext &Context;
  /// The status answered; 0: the caller went away first.
  int Status = 0;
  /// The refusal, if it was refused.
  const Refusal *Refused = nullptr;
  /// Time from receipt to answer.
  Millis Took;
};

/// Takes the end of an exchange.
using ExchangeEnded = std::function<void(const ExchangeEnd &)>;

/// A request that waits for its answer. It owns the bytes that the context
/// views. Dropped unanswered it refuses with reason "internal".
class CallerExchange {
public:
  /// Takes a request that came over HTTP.
  /// @param Exchange the HTTP exchange.
  /// @param Now the time of receipt.
  CallerExchange(std::shared_ptr<HttpExchange> Exchange, Millis Now);

  /// Takes a request that another entry forwarded.
  /// @param Request the parts that the other entry sent.
  /// @param Sink sends the answer back.
  /// @param Now the time of receipt.
  CallerExchange(wire::ForwardRequest Request, ForwardSink Sink, Millis Now);

  /// Answers if nobody did, and tells the end.
  ~CallerExchange();
  CallerExchange(const CallerExchange &) = delete;
  CallerExchange &operator=(const CallerExchange &) = delete;

  /// What is known of the request; the filters fill it in.
  RequestContext Context;

  /// @param Ended told once, when this object goes.
  void onEnded(ExchangeEnded Ended) { this->Ended = std::move(Ended); }

  /// @param Gone called if the caller goes away first.
  void onGone(std::function<void()> Gone);

  /// @return whether the caller went away.
  bool gone() const;

  /// @return whether an answer was begun.
  bool answered() const { return this->Answered; }

  /// Answers whole.
  /// @param Answer the answer.
  /// @pre !answered()
  void answer(CallerAnswer Answer);

  /// Refuses; a stream that has begun ends with an error event.
  /// @param Why the refusal.
  void refuse(const Refusal &Why);

  /// Sends a part of a streamed answer, the head first.
  /// @param Bytes the part.
  /// @pre the request came over HTTP.
  void stream(std::string_view Bytes);

  /// Ends a streamed answer.
  void finishStream();

  /// @return bytes of a stream that the caller has not taken.
  size_t unsentBytes() const;

  /// @return the request that another entry forwarded; null if over HTTP.
  const wire::ForwardRequest *forwarded() const;

  /// @return when the request was received.
  Millis receivedAt() const { return this->ReceivedAt; }

private:
  /// Fills the context's views from the HTTP request.
  void viewHttp();
  /// Fills the context's views from the forwarded request.
  void viewForward();

  /// The HTTP exchange; null if forwarded.
  std::shared_ptr<HttpExchange> Http;
  /// The forwarded request, if any.
  wire::ForwardRequest Forward;
  /// Sends the answer of a forwarded request; empty if over HTTP.
  ForwardSink Sink;
  /// When the request was received.
  Millis ReceivedAt;
  /// Told at the end.
  ExchangeEnded Ended;
  /// Whether an answer was begun.
  bool Answered = false;
  /// Whether the answer is a stream that has not ended.
  bool Streaming = false;
  /// The status answered.
  int Status = 0;
  /// The refusal, if it was refused.
  std::optional<Refusal> Refused;
};

/// @param Why a refusal.
/// @param RequestId the request.
/// @return the JSON object that tells it.
std::string refusalJson(const Refusal &Why, std::string_view RequestId);

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_CALLER_EXCHANGE_BASE_H
