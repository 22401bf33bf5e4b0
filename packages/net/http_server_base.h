/// @file
/// HTTP/1.1 and HTTP/2 server with whole and streamed responses.

#ifndef CAMPHORNOTCH_NET_HTTP_SERVER_BASE_H
#define CAMPHORNOTCH_NET_HTTP_SERVER_BASE_H

#include "base/error_type.h"
#include "core/limits/limit_type.h"
#include "net/http_type.h"
#include "net/loop_base.h"

#include <functional>
#include <memory>
#include <string>

namespace camphornotch {

/// One request and its response. Owned by the code that will respond; if the
/// last owner drops it without a response, the client gets status 500.
class HttpExchange {
public:
  /// Runs on an event of the exchange.
  using Callback = std::function<void()>;

  /// Responds with status 500, or aborts an unfinished stream.
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  const HttpRequest &request() const;

  /// Moves the request's body out; request() has none afterwards.
  std::string takeBody();

  /// Sends the whole response. Does nothing if the client has disconnected.
  /// @pre neither answer() nor start() was called.
  void answer(const HttpResponse &Response);

  /// Sends the head and first part of a streamed response.
  /// @pre neither answer() nor start() was called.
  void start(HttpResponse Response);

  /// Sends the next part of a streamed response.
  void write(std::string_view Chunk);

  /// Completes a streamed response.
  void finish();

  /// Aborts a streamed response, so that the client sees it as incomplete.
  void abort();

  /// @return whether start() or answer() was called.
  bool started() const;

  /// @return whether the client disconnected before the end of the response.
  bool gone() const;

  /// @return bytes passed to write() and not yet sent; for back-pressure, a
  ///         writer waits while this is large.
  size_t unsentBytes() const;

  /// @param Handler called once if the client disconnects before the end.
  void onGone(Callback Handler);

  /// @param Handler called each time all written bytes have been sent.
  void onDrained(Callback Handler);

private:
  friend class HttpServer;
  struct State;
  explicit HttpExchange(std::unique_ptr<State> Inner);
  /// Keeps h2o's headers out of this one.
  std::unique_ptr<State> Inner;
};

/// Handles each request; may respond after it returns.
using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

class ClientLimits;

struct HttpServerConfig {
  /// The IPv4 address to listen on.
  std::string Address = "127.0.0.1";
  /// 0: any free port.
  uint16_t Port = 0;
  /// Limit on a request body; a larger one gets status 413.
  size_t MaxBodyBytes = size_t{8} << 20;
  /// Limit both for a client to send its request and for a connection to stay
  /// idle, until setTimeouts() is called.
  Millis RequestTimeout = seconds(30);
  /// The limits of the process on what clients make it hold; null: none.
  std::shared_ptr<ClientLimits> Limits;
  /// Who connects to this port.
  ClientPort ClientKind = ClientPort::Callers;
  /// Sent under these limits before a connection is closed whose request is not
  /// complete: if memory is short, and if the request arrives too slowly.
  HttpResponse IncompleteRefusal;
  HttpResponse SlowRefusal;
};

class HttpServer {
public:
  /// @return the server, or an error if the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>>
  listen(Loop &Events, const HttpServerConfig &Config, HttpHandler Handler);

  /// Closes the socket; responses still open are aborted.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  uint16_t port() const;

  /// @return requests received and not yet completely answered.
  size_t inFlight() const;

  /// Changes the timeouts, also of open connections.
  /// @param Head time for the head of a request from its first byte; 0: that of
  ///   an idle connection.
  /// @param Idle time for a connection to stay idle; 0: unchanged.
  void setTimeouts(Millis Head, Millis Idle);

  /// Changes the limit on a request body.
  void setMaxBody(size_t Bytes);

  /// Asks clients to close (GOAWAY, Connection: close); still accepts requests.
  void beginDrain();

  /// Stops accepting connections, closes those that are or become idle, and
  /// asks clients to close, like beginDrain(). A request that has begun to
  /// arrive is still handled.
  /// @param Done called when no request is in flight.
  void beginStop(std::function<void()> Done);

private:
  friend class HttpExchange;
  struct State;
  explicit HttpServer(std::unique_ptr<State> Inner);
  /// Keeps h2o's headers out of this one.
  std::unique_ptr<State> Inner;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_SERVER_BASE_H
