/// @file
/// One caller's request with its answer.

#include "daemon/caller_exchange_base.h"

#include "base/clock_func.h"
#include "base/refusal_func.h"
#include "base/text_func.h"

#include <cassert>
#include <nlohmann/json.hpp>

namespace camphornotch {

namespace {

/// The type of a streamed answer.
constexpr const char *StreamType = "text/event-stream";

/// @param Answer a whole answer.
/// @param RequestId the request.
/// @return it as HTTP.
HttpResponse toHttp(CallerAnswer Answer, const std::string &RequestId) {
  HttpResponse Response;
  Response.Status = Answer.Status;
  Response.ContentType = std::move(Answer.ContentType);
  Response.Body = std::move(Answer.Body);
  Response.Headers.push_back({"x-request-id", RequestId});
  if (Answer.RetryAfterMs > 0) {
    constexpr int64_t MillisPerSecond = 1000;
    const int64_t Seconds =
        (Answer.RetryAfterMs + MillisPerSecond - 1) / MillisPerSecond;
    Response.Headers.push_back({"retry-after", std::to_string(Seconds)});
  }
  return Response;
}

} // namespace

std::string refusalJson(const Refusal &Why, std::string_view RequestId) {
  const RefusalSpec &Spec = refusalSpec(Why.Reason);
  const nlohmann::json Value{
      {"reason", Spec.Name},   {"run_state", runStateName(Why.State)},
      {"remedy", Spec.Remedy}, {"retry_after_ms", Why.RetryAfterMs},
      {"detail", Why.Detail},  {"request_id", RequestId}};
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

CallerExchange::CallerExchange(std::shared_ptr<HttpExchange> Exchange,
                               Millis Now)
    : Http(std::move(Exchange)), ReceivedAt(Now) {
  this->viewHttp();
}

CallerExchange::CallerExchange(wire::ForwardRequest Request, ForwardSink Sink,
                               Millis Now)
    : Forward(std::move(Request)), Sink(std::move(Sink)), ReceivedAt(Now) {
  this->viewForward();
}

CallerExchange::~CallerExchange() {
  if (this->Http != nullptr)
    this->Http->onGone({});
  if (!this->gone() && (!this->Answered || this->Streaming))
    this->refuse(Refusal{});
  if (!this->Ended)
    return;
  const bool Lost = this->gone() && (!this->Answered || this->Streaming);
  this->Ended(ExchangeEnd{this->Context, Lost ? 0 : this->Status,
                          this->Refused ? &*this->Refused : nullptr,
                          steadyNow() - this->ReceivedAt});
}

void CallerExchange::viewHttp() {
  const HttpRequest &Request = this->Http->request();
  this->Context.Method = Request.Method;
  this->Context.Path = Request.Path;
  this->Context.Query = Request.Query;
  this->Context.Body = Request.Body;
  this->Context.Peer = Request.Peer;
  this->Context.CallerHeader = findHeader(Request.Headers, "x-caller");
  this->Context.IdHeader = findHeader(Request.Headers, "x-request-id");
  this->Context.KeyHeader = findHeader(Request.Headers, "idempotency-key");
  this->Context.FirstUseHeader = findHeader(Request.Headers, "x-first-use");
  this->Context.DeadlineHeader = findHeader(Request.Headers, "x-deadline-ms");
  this->Context.ContentType = findHeader(Request.Headers, "content-type");
}

void CallerExchange::viewForward() {
  const std::string_view Target = this->Forward.Path;
  const size_t Mark = Target.find('?');
  this->Context.Method = this->Forward.Method;
  this->Context.Path = Target.substr(0, Mark);
  if (Mark != std::string_view::npos)
    this->Context.Query = Target.substr(Mark + 1);
  this->Context.Body = this->Forward.Body;
  this->Context.CallerHeader = this->Forward.Caller;
  this->Context.IdHeader = this->Forward.RequestId;
  this->Context.KeyHeader = this->Forward.IdempotencyKey;
  this->Context.ContentType = this->Forward.ContentType;
}

void CallerExchange::onGone(std::function<void()> Gone) {
  if (this->Http != nullptr)
    this->Http->onGone(std::move(Gone));
}

bool CallerExchange::gone() const {
  return this->Http != nullptr && this->Http->gone();
}

void CallerExchange::answer(CallerAnswer Answer) {
  assert(!this->Answered);
  this->Answered = true;
  this->Status = Answer.Status;
  if (this->Http != nullptr)
    this->Http->answer(toHttp(std::move(Answer), this->Context.RequestId));
  else
    this->Sink(std::move(Answer));
}

void CallerExchange::refuse(const Refusal &Why) {
  this->Refused = Why;
  std::string Body = refusalJson(Why, this->Context.RequestId);
  if (this->Streaming) {
    this->Http->write(concat("data: {\"error\":", Body, "}\n\n"));
    this->finishStream();
    return;
  }
  CallerAnswer Answer;
  Answer.Status = refusalSpec(Why.Reason).HttpStatus;
  Answer.Body = std::move(Body);
  Answer.RetryAfterMs = Why.RetryAfterMs;
  this->answer(std::move(Answer));
}

void CallerExchange::stream(std::string_view Bytes) {
  assert(this->Http != nullptr);
  if (this->Streaming) {
    this->Http->write(Bytes);
    return;
  }
  assert(!this->Answered);
  this->Answered = true;
  this->Streaming = true;
  HttpResponse Head;
  Head.ContentType = StreamType;
  Head.Headers = {{"x-request-id", this->Context.RequestId},
                  {"cache-control", "no-store"}};
  Head.Body = Bytes;
  this->Status = Head.Status;
  this->Http->start(std::move(Head));
}

void CallerExchange::finishStream() {
  assert(this->Streaming);
  this->Streaming = false;
  this->Http->finish();
}

size_t CallerExchange::unsentBytes() const {
  return this->Http == nullptr ? 0 : this->Http->unsentBytes();
}

const wire::ForwardRequest *CallerExchange::forwarded() const {
  return this->Http == nullptr ? &this->Forward : nullptr;
}

} // namespace camphornotch
