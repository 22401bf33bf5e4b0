/// @file
/// HTTP server on h2o.

#include "net/http_server_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "net/client_limits_base.h"
#include "net/head_watch_internal.h"
#include "net/http_responder_internal.h"
#include "net/listen_internal.h"

#include <cassert>
#include <netinet/in.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace camphornotch {

namespace {

/// Interval of the checks for disconnected clients and late heads.
constexpr Millis CheckInterval{100};
/// Limit on the connections accepted in one turn of the loop.
constexpr int MaxAcceptsPerTurn = 64;
/// Limit on the concurrent requests of one HTTP/2 connection.
constexpr size_t MaxStreamsPerConnection = 256;

/// @return a copy of the parts of h2o's request that handlers use.
/// The body stays with h2o.
HttpRequest copyHead(const h2o_req_t &Request) {
  HttpRequest Copy;
  Copy.Method = toView(Request.input.method);
  Copy.Authority = toView(Request.input.authority);
  const std::string_view FullPath = toView(Request.input.path);
  const size_t QueryAt = Request.input.query_at;
  Copy.Target = FullPath;
  Copy.Path = FullPath.substr(0, QueryAt);
  if (QueryAt != SIZE_MAX)
    Copy.Query = FullPath.substr(QueryAt + 1);
  Copy.Headers.reserve(Request.headers.size);
  for (size_t Index = 0; Index < Request.headers.size; ++Index) {
    const h2o_header_t &Header = Request.headers.entries[Index];
    Copy.Headers.push_back(HttpHeader{std::string(toView(*Header.name)),
                                      std::string(toView(Header.value))});
  }
  sockaddr_storage Peer = {};
  auto *Base = reinterpret_cast<sockaddr *>(&Peer);
  const socklen_t Length =
      Request.conn->callbacks->get_peername(Request.conn, Base);
  char Text[NI_MAXHOST];
  const size_t TextLength = h2o_socket_getnumerichost(Base, Length, Text);
  if (TextLength != SIZE_MAX)
    Copy.Peer.assign(Text, TextLength);
  return Copy;
}

/// @return the bytes of a refusal, after which the connection is closed.
std::string refusalText(const HttpResponse &Refusal) {
  std::string Text =
      concat("HTTP/1.1 ", Refusal.Status, " \r\nconnection: close\r\n",
             "content-type: ", Refusal.ContentType,
             "\r\ncontent-length: ", Refusal.Body.size(), "\r\n");
  for (const HttpHeader &Header : Refusal.Headers)
    Text += concat(Header.Name, ": ", Header.Value, "\r\n");
  return Text + "\r\n" + Refusal.Body;
}

} // namespace

struct HttpExchange::State {
  HttpRequest Request;
  /// The body's bytes under the limits of the process.
  HeldBytes Held;
  /// Sends the response; null once h2o has disposed of the request.
  HttpResponder *Responder = nullptr;
  /// Whether start() or answer() was called.
  bool Started = false;
  /// Whether the client disconnected before the end of the response.
  bool Gone = false;
  /// Called when the client disconnects.
  Callback OnGone;
  /// Removes the exchange from HttpServer::State::OpenExchanges.
  Callback OnDestroyed;

  /// Records that the client disconnected and runs OnGone.
  void clientGone() {
    this->Responder = nullptr;
    this->Gone = true;
    const Callback Handler = std::move(this->OnGone);
    this->OnGone = nullptr;
    if (Handler)
      Handler();
  }
};

struct HttpServer::State {
  /// h2o's handler, extended by a pointer to the server's state.
  struct Handler {
    /// h2o's part; must be first.
    h2o_handler_t Super;
    State *Self;
  };

  explicit State(Loop &Events) : Events(Events) {}

  Loop &Events;
  HttpHandler RequestHandler;
  h2o_globalconf_t Config{};
  h2o_context_t Context{};
  h2o_accept_ctx_t Accept{};
  /// Null once stopped.
  h2o_socket_t *Listener = nullptr;
  uint16_t Port = 0;
  HttpOpenRequests Requests;
  /// Exchanges of open requests, checked for disconnected clients.
  std::unordered_map<HttpResponder *, HttpExchange::State *> OpenExchanges;
  /// Closes connections on which a request head is late.
  HeadWatch Heads;
  /// Runs the next checkClients().
  TimerId CheckTimer;
  /// Whether idle connections are closed.
  bool Stopping = false;
  /// Null: none.
  std::shared_ptr<ClientLimits> Limits;
  ClientPort ClientKind = ClientPort::Callers;
  LimitRefusals Refusals;

  /// Sets up h2o's configuration and context.
  void configure(const HttpServerConfig &Limits) {
    h2o_config_init(&this->Config);
    this->Limits = Limits.Limits;
    this->ClientKind = Limits.ClientKind;
    this->Refusals = LimitRefusals{refusalText(Limits.IncompleteRefusal),
                                   refusalText(Limits.SlowRefusal)};
    this->Config.server_name = toVector("camphornotch");
    this->Config.max_request_entity_size = Limits.MaxBodyBytes;
    this->Config.http1.req_timeout =
        static_cast<uint64_t>(Limits.RequestTimeout.Count);
    this->Config.http2.max_concurrent_requests_per_connection =
        MaxStreamsPerConnection;
    h2o_hostconf_t *Host = h2o_config_register_host(
        &this->Config, toVector("default"), UINT16_MAX);
    h2o_pathconf_t *Path = h2o_config_register_path(Host, "/", 0);
    h2o_handler_t *Base = h2o_create_handler(Path, sizeof(Handler));
    Base->on_req = State::onRequest;
    reinterpret_cast<Handler *>(Base)->Self = this;
    h2o_context_init(&this->Context, this->Events.h2oLoop(), &this->Config);
    this->Accept.ctx = &this->Context;
    this->Accept.hosts = this->Config.hosts;
  }

  /// h2o's callback for each request.
  /// @param Base the Handler.
  /// @return 0: the request is handled here.
  static int onRequest(h2o_handler_t *Base, h2o_req_t *Request) {
    State *Self = reinterpret_cast<Handler *>(Base)->Self;
    HttpResponder *Responder = HttpResponder::make(Request, &Self->Requests);
    auto Inner = std::make_unique<HttpExchange::State>();
    Inner->Request = copyHead(*Request);
    Self->takeBody(*Request, *Responder, *Inner);
    Inner->Responder = Responder;
    HttpExchange::State *Exchange = Inner.get();
    const std::shared_ptr<HttpExchange> Shared(
        new HttpExchange(std::move(Inner)));
    Responder->OnDisposed = [Self, Responder, Exchange] {
      Self->OpenExchanges.erase(Responder);
      if (Responder->ended())
        Exchange->Responder = nullptr;
      else
        Exchange->clientGone();
    };
    Exchange->OnDestroyed = [Self, Responder] {
      Self->OpenExchanges.erase(Responder);
    };
    Self->OpenExchanges.emplace(Responder, Exchange);
    Self->RequestHandler(Shared);
    return 0;
  }

  /// Copies a request's body, or moves it under the limits of the process.
  void takeBody(const h2o_req_t &Request, HttpResponder &Responder,
                HttpExchange::State &Exchange) {
    const size_t Bytes =
        Request.entity.base == nullptr ? 0 : Request.entity.len;
    if (this->Limits == nullptr) {
      if (Bytes > 0)
        Exchange.Request.Body = toView(Request.entity);
      return;
    }
    if (Bytes > 0)
      Exchange.Request.Body = moveBody(Request.entity);
    LimitedConnection *Limited = HeadWatch::limitedOf(Responder.socket());
    Responder.attach(this->Limits, *Limited, Bytes);
    Exchange.Held.attach(this->Limits);
    Exchange.Held.set(static_cast<int64_t>(Bytes));
  }

  /// Accepts pending connections.
  static void onAccept(h2o_socket_t *Listener, const char *Failure) {
    auto *Self = static_cast<State *>(Listener->data);
    if (Failure != nullptr)
      return;
    for (int Count = 0; Count < MaxAcceptsPerTurn; ++Count) {
      h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener);
      if (Socket == nullptr)
        return;
      Self->accept(Socket);
    }
  }

  void accept(h2o_socket_t *Socket) {
    if (this->Limits == nullptr) {
      this->Heads.add(Socket, nullptr);
      h2o_accept(&this->Accept, Socket);
      return;
    }
    std::unique_ptr<LimitedConnection> Limited = LimitedConnection::admit(
        Socket, this->ClientKind, this->Limits, this->Refusals);
    if (Limited == nullptr) {
      h2o_socket_close(Socket);
      return;
    }
    LimitedConnection *Raw = Limited.get();
    this->Heads.add(Socket, std::move(Limited));
    h2o_accept(&this->Accept, Socket);
    Raw->takeReads();
  }

  /// Closes connections on which a request head is late.
  void checkHeads() {
    const int Late = this->Heads.closeLate(steadyNow());
    if (Late > 0)
      logLine(LogLevel::Warn,
              "closed connections that did not send their request head in time",
              {{"count", concat(Late)}});
  }

  /// Closes the connections that no request uses, while the server stops.
  void closeIdleConnections() {
    if (!this->Stopping)
      return;
    std::unordered_set<h2o_socket_t *> Busy;
    for (const HttpResponder *Each : this->Requests.Open)
      Busy.insert(Each->socket());
    const int Idle = this->Heads.closeIdle(Busy);
    if (Idle > 0)
      logLine(LogLevel::Info, "closed idle connections of a stopping server",
              {{"count", concat(Idle)}});
  }

  /// Finds clients that disconnected while their request is being handled.
  void checkClients() {
    this->checkHeads();
    if (this->Limits != nullptr)
      this->Limits->endSlow();
    this->closeIdleConnections();
    std::vector<HttpResponder *> Closed;
    for (const auto &[Responder, Exchange] : this->OpenExchanges)
      if (Responder->clientClosed())
        Closed.push_back(Responder);
    for (HttpResponder *Responder : Closed) {
      const auto Found = this->OpenExchanges.find(Responder);
      if (Found == this->OpenExchanges.end())
        continue;
      HttpExchange::State *Exchange = Found->second;
      this->OpenExchanges.erase(Found);
      Responder->OnDisposed = nullptr;
      Responder->OnDrained = nullptr;
      Responder->endDisconnected();
      Exchange->clientGone();
    }
    this->scheduleCheck();
  }

  /// Schedules the next checkClients().
  void scheduleCheck() {
    this->CheckTimer =
        this->Events.callAfter(CheckInterval, [this] { this->checkClients(); });
  }

  /// Accepts the connections still in the kernel's queue, then closes the
  /// socket.
  void closeListener() {
    if (this->Listener == nullptr)
      return;
    while (h2o_socket_t *Socket = h2o_evloop_socket_accept(this->Listener))
      this->accept(Socket);
    h2o_socket_close(this->Listener);
    this->Listener = nullptr;
  }
};

HttpExchange::HttpExchange(std::unique_ptr<State> Inner)
    : Inner(std::move(Inner)) {}

HttpExchange::~HttpExchange() {
  HttpResponder *Responder = this->Inner->Responder;
  if (Responder == nullptr)
    return;
  Responder->OnDrained = nullptr;
  if (!this->Inner->Started)
    this->answer(HttpResponse{500, "text/plain", {}, "not answered\n"});
  else
    Responder->end(H2O_SEND_STATE_ERROR);
  // h2o may have disposed of the request, which clears the pointer.
  if (this->Inner->Responder == nullptr)
    return;
  this->Inner->Responder->OnDisposed = nullptr;
  this->Inner->OnDestroyed();
}

const HttpRequest &HttpExchange::request() const {
  return this->Inner->Request;
}

std::string HttpExchange::takeBody() {
  return std::exchange(this->Inner->Request.Body, std::string());
}

void HttpExchange::answer(const HttpResponse &Response) {
  assert(!this->Inner->Started);
  this->Inner->Started = true;
  if (this->Inner->Responder != nullptr)
    this->Inner->Responder->answer(Response);
}

void HttpExchange::start(HttpResponse Response) {
  assert(!this->Inner->Started);
  this->Inner->Started = true;
  if (this->Inner->Responder != nullptr)
    this->Inner->Responder->start(std::move(Response));
}

void HttpExchange::write(std::string_view Chunk) {
  assert(this->Inner->Started);
  if (this->Inner->Responder != nullptr)
    this->Inner->Responder->write(Chunk);
}

void HttpExchange::finish() {
  if (this->Inner->Responder != nullptr)
    this->Inner->Responder->end(H2O_SEND_STATE_FINAL);
}

void HttpExchange::abort() {
  if (this->Inner->Responder != nullptr)
    this->Inner->Responder->end(H2O_SEND_STATE_ERROR);
}

bool HttpExchange::started() const { return this->Inner->Started; }

bool HttpExchange::gone() const { return this->Inner->Gone; }

size_t HttpExchange::unsentBytes() const {
  const HttpResponder *Responder = this->Inner->Responder;
  return Responder == nullptr ? 0 : Responder->unsentBytes();
}

void HttpExchange::onGone(Callback Handler) {
  this->Inner->OnGone = std::move(Handler);
}

void HttpExchange::onDrained(Callback Handler) {
  if (this->Inner->Responder != nullptr)
    this->Inner->Responder->OnDrained = std::move(Handler);
}

HttpServer::HttpServer(std::unique_ptr<State> Inner)
    : Inner(std::move(Inner)) {}

HttpServer::~HttpServer() {
  this->Inner->closeListener();
  this->Inner->Events.cancel(this->Inner->CheckTimer);
  // The state is leaked because h2o's open connections still refer to it.
  this->Inner->RequestHandler =
      [](const std::shared_ptr<HttpExchange> &Exchange) {
        Exchange->start(HttpResponse{});
        Exchange->abort();
      };
  this->Inner->Requests.OnEmpty = nullptr;
  (void)this->Inner.release();
}

Result<std::unique_ptr<HttpServer>>
HttpServer::listen(Loop &Events, const HttpServerConfig &Config,
                   HttpHandler Handler) {
  auto Socket = listenOn(HttpTarget{Config.Address, Config.Port});
  if (!Socket)
    return Socket.error();
  auto Inner = std::make_unique<State>(Events);
  Inner->RequestHandler = std::move(Handler);
  Inner->Port = Socket.value().Port;
  Inner->configure(Config);
  Inner->Listener = h2o_evloop_socket_create(
      Events.h2oLoop(), Socket.value().Fd, H2O_SOCKET_FLAG_DONT_READ);
  Inner->Listener->data = Inner.get();
  h2o_socket_read_start(Inner->Listener, State::onAccept);
  Inner->scheduleCheck();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(Inner)));
}

uint16_t HttpServer::port() const { return this->Inner->Port; }

void HttpServer::setTimeouts(Millis Head, Millis Idle) {
  this->Inner->Heads.setLimit(Head);
  if (Idle > Millis{0})
    this->Inner->Context.http1.req_timeout.timeout =
        static_cast<uint64_t>(Idle.Count);
}

void HttpServer::setMaxBody(size_t Bytes) {
  this->Inner->Config.max_request_entity_size = Bytes;
}

size_t HttpServer::inFlight() const {
  return this->Inner->Requests.Open.size();
}

void HttpServer::beginDrain() {
  h2o_context_request_shutdown(&this->Inner->Context);
}

void HttpServer::beginStop(std::function<void()> Done) {
  this->beginDrain();
  this->Inner->closeListener();
  this->Inner->Stopping = true;
  this->Inner->closeIdleConnections();
  if (this->Inner->Requests.Open.empty()) {
    this->Inner->Events.defer(std::move(Done));
    return;
  }
  Loop &Events = this->Inner->Events;
  this->Inner->Requests.OnEmpty = [&Events, Done = std::move(Done)] {
    Events.defer(Done);
  };
}

} // namespace camphornotch
