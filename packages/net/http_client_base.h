/// @file
/// HTTP/1.1 client with streamed responses, timeouts and a connection pool.

#ifndef CAMPHORNOTCH_NET_HTTP_CLIENT_BASE_H
#define CAMPHORNOTCH_NET_HTTP_CLIENT_BASE_H

#include "base/error_type.h"
#include "net/http_type.h"
#include "net/loop_base.h"

#include <functional>
#include <memory>
#include <string_view>

namespace camphornotch {

/// Identifies a call of one client; 0: no call.
using HttpCallId = StrongId<struct HttpCallTag, uint64_t>;

/// Why a call failed.
struct HttpFailure {
  /// BadInput: the bytes received are no HTTP response. TooLarge: the body
  /// exceeded a limit. Unavailable: all else.
  Error Cause;
  /// Whether no connection was made, so that no byte of the request was sent.
  bool NotSent = false;
  /// Response bytes that had arrived.
  size_t Received = 0;
};

/// Callbacks of a call; exactly one of Failed and Finished is called, last.
struct HttpCallbacks {
  /// The status and headers arrived; Body is empty in this response. Optional.
  std::function<void(const HttpResponse &)> Head;
  /// A part of the body arrived. If not set, Finished gets the whole body.
  std::function<void(std::string_view)> Chunk;
  /// The response is complete.
  std::function<void(HttpResponse)> Finished;
  /// The call failed, possibly after a part of the body.
  std::function<void(const HttpFailure &)> Failed;
};

class ClientLimits;

/// Sends calls over HTTP/1.1.
class HttpClient {
public:
  /// @param Events the loop to run on.
  explicit HttpClient(Loop &Events);
  /// Cancels all calls; no callback runs.
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. No callback runs before this returns.
  /// @return the call's id, for cancel().
  HttpCallId start(HttpCall Call, HttpCallbacks Callbacks);

  /// Sets the limits under which bodies are collected: reading a large one
  /// waits until it fits.
  void setLimits(std::shared_ptr<ClientLimits> Limits);

  /// Closes the call's connection; no further callback runs.
  /// @param Call ignored if it has finished.
  void cancel(HttpCallId Call);

  /// Stops reading the response until resume(); the timeout keeps running.
  /// @param Call ignored if it has finished.
  void pause(HttpCallId Call);

  /// Continues to read after pause().
  /// @param Call ignored if it is not paused.
  void resume(HttpCallId Call);

  /// Collects the response's body for Finished, under the limits of collected
  /// bodies, in place of passing its parts to Chunk: for a response that is not
  /// the stream expected.
  /// @param Call ignored if it has finished.
  /// @pre the call's Head callback is running.
  void collect(HttpCallId Call);

  /// Closes all idle connections to a target: if one no longer answers, the
  /// others may not either. Also done when a call on a reused connection times
  /// out.
  void closeIdle(const HttpTarget &Target);

private:
  struct State;
  /// Keeps h2o's headers out of this one.
  std::unique_ptr<State> Inner;
};

/// @param Text "<ip>:<port>".
/// @return the target; BadInput if the text is no IPv4 address and port.
Result<HttpTarget> parseTarget(std::string_view Text);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_CLIENT_BASE_H
