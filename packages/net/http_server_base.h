/// @file
/// HTTP server: HTTP/1.1 and HTTP/2, whole and streamed answers.

#ifndef CAMPHORNOTCH_NET_HTTP_SERVER_BASE_H
#define CAMPHORNOTCH_NET_HTTP_SERVER_BASE_H

#include "base/error_type.h"
#include "net/http_type.h"
#include "net/loop_base.h"

#include <functional>
#include <memory>
#include <string>

namespace camphornotch {

/// One request and its answer. Held by whoever will answer it; when the last
/// holder drops it unanswered, the client gets status 500.
class HttpExchange {
public:
  /// What runs on an event of the exchange.
  using Call = std::function<void()>;

  /// Answers 500, or cuts the stream, if nothing else was done.
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  /// @return the request.
  const HttpRequest &request() const;

  /// Answers whole. Does nothing if the client is gone.
  /// @param Response the answer.
  /// @pre neither answer() nor start() was called.
  void answer(const HttpResponse &Response);

  /// Sends the head (and first part) of a streamed answer.
  /// @param Response the head.
  /// @pre neither answer() nor start() was called.
  void start(HttpResponse Response);

  /// Sends a further part of a streamed answer.
  /// @param Chunk the part.
  void write(std::string_view Chunk);

  /// Ends a streamed answer.
  void finish();

  /// Breaks a streamed answer off, so that the client sees it as cut.
  void abort();

  /// @return whether start() or answer() was called.
  bool started() const;

  /// @return whether the client went away.
  bool gone() const;

  /// @return bytes written and not yet taken by the socket; a writer that
  ///         honours back-pressure waits while this is large.
  size_t unsentBytes() const;

  /// @param Run called once if the client goes away before the end.
  void onGone(Call Run);

  /// @param Run called each time all that was written has been sent.
  void onDrained(Call Run);

private:
  friend class HttpServer;
  struct State;
  /// @param Inner the state made by the server.
  explicit HttpExchange(std::unique_ptr<State> Inner);
  /// Everything that needs h2o's headers.
  std::unique_ptr<State> Inner;
};

/// Takes each request; it answers then or later.
using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// What a server is made of.
struct HttpServerConfig {
  /// The IP number to listen on.
  std::string Address = "127.0.0.1";
  /// The port; 0 takes a free one.
  uint16_t Port = 0;
  /// Largest request body; larger ones get 413.
  size_t MaxBodyBytes = size_t{8} << 20;
  /// Time for a client to send its request, and for a kept connection to stay
  /// idle, until setTimeouts() is called.
  Millis RequestTimeout = seconds(30);
};

/// A listening server.
class HttpServer {
public:
  /// @param Events the loop to run on.
  /// @param Config what to listen on.
  /// @param Handler takes each request.
  /// @return the server, or why the address cannot be had.
  static Result<std::unique_ptr<HttpServer>>
  listen(Loop &Events, const HttpServerConfig &Config, HttpHandler Handler);

  /// Closes the socket; exchanges still open are cut.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// @return the port listened on.
  uint16_t port() const;

  /// @return requests taken and not yet wholly answered.
  size_t inFlight() const;

  /// Changes the limits, for open connections too.
  /// @param Head time for the head of a request from its first byte; 0: that of
  ///   an idle connection.
  /// @param Idle time for a kept connection to stay idle; 0: as it is.
  void setTimeouts(Millis Head, Millis Idle);

  /// Tells clients to close (GOAWAY, Connection: close); goes on accepting.
  void beginDrain();

  /// Stops accepting, tells clients to close as beginDrain() does.
  /// @param Done called when no request is in flight any more.
  void beginStop(std::function<void()> Done);

private:
  friend class HttpExchange;
  struct State;
  /// @param Inner the state made by listen().
  explicit HttpServer(std::unique_ptr<State> Inner);
  /// Everything that needs h2o's headers.
  std::unique_ptr<State> Inner;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_SERVER_BASE_H
