/// @file
/// Shared fixtures: running the event loop, plain sockets, HTTP server and
/// client.

#ifndef CAMPHORNOTCH_TESTS_NET_NET_FIXTURE_H
#define CAMPHORNOTCH_TESTS_NET_NET_FIXTURE_H

#include "net/http_client_base.h"
#include "net/http_server_base.h"
#include "net/loop_base.h"

#include <arpa/inet.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace camphornotch {

/// Limit on the turns of turnUntil(); far more than any test needs.
inline constexpr int MaxTurns = 20'000;

/// Runs turns of the loop until a condition holds.
/// @return whether it held within MaxTurns.
inline bool turnUntil(Loop &Events, const std::function<bool()> &Condition) {
  for (int Turn = 0; Turn < MaxTurns; ++Turn) {
    if (Condition())
      return true;
    Events.runOnce(Millis{1});
  }
  return false;
}

/// A blocking TCP connection to the loopback address; reads do not wait.
class PlainSocket {
public:
  explicit PlainSocket(uint16_t Port)
      : Fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->Connected = connect(this->Fd, reinterpret_cast<sockaddr *>(&Address),
                              sizeof(Address)) == 0;
  }
  ~PlainSocket() { this->close(); }
  PlainSocket(const PlainSocket &) = delete;
  PlainSocket &operator=(const PlainSocket &) = delete;

  void send(std::string_view Bytes) const {
    (void)!::send(this->Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  /// @return all bytes received so far.
  const std::string &received() {
    char Buffer[4096];
    while (true) {
      const ssize_t Count =
          recv(this->Fd, Buffer, sizeof(Buffer), MSG_DONTWAIT);
      this->AtEnd = this->AtEnd || Count == 0;
      if (Count <= 0)
        return this->Input;
      this->Input.append(Buffer, static_cast<size_t>(Count));
    }
  }

  /// @return whether the server closed the connection.
  bool ended() {
    this->received();
    return this->AtEnd;
  }

  void close() {
    if (this->Fd >= 0)
      ::close(this->Fd);
    this->Fd = -1;
  }

  bool Connected = false;

private:
  int Fd = -1;
  /// All bytes received so far.
  std::string Input;
  /// Whether the server closed the connection.
  bool AtEnd = false;
};

/// Sends a call and waits for its end.
/// @return the response; status 0 if the call failed.
inline HttpResponse answerTo(Loop &Events, HttpClient &Client, HttpCall Call) {
  HttpResponse Answer;
  Answer.Status = 0;
  bool Ended = false;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [&](HttpResponse Response) {
    Answer = std::move(Response);
    Ended = true;
  };
  Callbacks.Failed = [&](const HttpFailure &) { Ended = true; };
  Client.start(std::move(Call), std::move(Callbacks));
  turnUntil(Events, [&] { return Ended; });
  return Answer;
}

/// A loop, a server whose handler the test sets, and a client.
struct HttpFixture {
  Loop Events;
  HttpHandler Handler;
  std::unique_ptr<HttpServer> Server;
  HttpClient Client{this->Events};

  explicit HttpFixture(size_t MaxBodyBytes = 1 << 20) {
    HttpServerConfig Config;
    Config.MaxBodyBytes = MaxBodyBytes;
    auto Made = HttpServer::listen(
        this->Events, Config,
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          this->Handler(Exchange);
        });
    this->Server = std::move(Made.value());
  }

  /// @return the server's address.
  HttpTarget target() const {
    return HttpTarget{"127.0.0.1", this->Server->port()};
  }

  /// Sends a call and waits for its end.
  /// @param Call its target is filled in.
  /// @return the response; status 0 if the call failed.
  HttpResponse ask(HttpCall Call) {
    Call.Target = this->target();
    return answerTo(this->Events, this->Client, std::move(Call));
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_NET_NET_FIXTURE_H
