/// @file
/// HTTP client: whole or chunked answers, cancel, timeout, kept connections.

#ifndef CAMPHORNOTCH_NET_HTTP_CLIENT_BASE_H
#define CAMPHORNOTCH_NET_HTTP_CLIENT_BASE_H

#include "base/error_type.h"
#include "net/http_type.h"
#include "net/loop_base.h"

#include <functional>
#include <memory>
#include <string_view>

namespace camphornotch {

/// Names one call of a client; 0 names none.
using HttpCallId = StrongId<struct HttpCallTag, uint64_t>;

/// How a call failed.
struct HttpFailure {
  /// What happened; of kind BadInput if the bytes received are no answer, and
  /// TooLarge if the answer went over its limit.
  Error Cause;
  /// Whether the request was surely never sent.
  bool NotSent = false;
  /// Bytes of the answer that had arrived.
  size_t Received = 0;
};

/// What a call tells its caller; Failed or Finished comes last, once.
struct HttpEvents {
  /// The status and headers arrived; the body of the response is empty. May
  /// be left empty.
  std::function<void(const HttpResponse &)> Head;
  /// A part of the body arrived. If empty, Finished gets the whole body.
  std::function<void(std::string_view)> Chunk;
  /// The whole answer arrived.
  std::function<void(HttpResponse)> Finished;
  /// The call failed; also when the body was cut.
  std::function<void(const HttpFailure &)> Failed;
};

/// Sends calls over HTTP/1.1.
class HttpClient {
public:
  /// @param Events the loop to run on.
  explicit HttpClient(Loop &Events);
  /// Cancels all calls without telling their callers.
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. No event comes before this returns.
  /// @param Call the request.
  /// @param Events what to tell.
  /// @return the call's name, for cancel().
  HttpCallId start(HttpCall Call, HttpEvents Events);

  /// Closes the call's connection; no further event comes.
  /// @param Call a call; a finished one is ignored.
  void cancel(HttpCallId Call);

  /// Reads no more of a call's answer until resume(); its time goes on.
  /// @param Call a call; a finished one is ignored.
  void pause(HttpCallId Call);

  /// Reads on after pause().
  /// @param Call a call; one that is not paused is ignored.
  void resume(HttpCallId Call);

  /// Closes the idle connections to a target: one that went silent may be one
  /// of many. Done by itself when a call on a kept connection times out.
  /// @param Target the target.
  void dropIdle(const HttpTarget &Target);

private:
  struct State;
  /// Everything that needs h2o's headers.
  std::unique_ptr<State> Inner;
};

/// @param Text "<ip>:<port>".
/// @return the target, or what is wrong with it.
Result<HttpTarget> parseTarget(std::string_view Text);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_CLIENT_BASE_H
