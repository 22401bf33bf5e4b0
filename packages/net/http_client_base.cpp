/// @file
/// HTTP/1.1 client on h2o's sockets.

#include "net/http_client_base.h"

#include "base/clock_func.h"
#include "net/client_limits_base.h"
#include "net/h2o_internal.h"
#include "net/http_head_internal.h"
#include "net/http_parser_internal.h"
#include "net/idle_time_internal.h"
#include "net/limited_connection_internal.h"
#include "net/listen_internal.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cassert>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>

namespace camphornotch {

namespace {

/// Further connections are closed after their call.
constexpr size_t MaxIdlePerTarget = 16;
/// Smaller bodies are read at once under the limits of the process.
constexpr size_t MinAwaitedBytes = size_t{64} << 10;

/// @return the error that a failed call reports.
Error callError(const HttpCall &Call, std::string_view Cause, ErrorKind Kind) {
  return Error{Kind,
               absl::StrCat(Call.Method, " ", Call.Target.Address, ":",
                            Call.Target.Port, Call.Path, ": ",
                            std::string(Cause)),
               Kind == ErrorKind::Unavailable
                   ? "check that the process at this address is running"
                   : "check what the process at this address sends"};
}

} // namespace

struct HttpClient::State {
  /// A call in progress.
  struct ActiveCall {
    ActiveCall(State *Owner, HttpCall Call, HttpCallbacks Callbacks)
        : Owner(Owner), Call(std::move(Call)), Callbacks(std::move(Callbacks)),
          Head(requestHead(this->Call)), Reader(this->Call.Method == "HEAD") {}
    State *Owner;
    uint64_t Id = 0;
    HttpCall Call;
    HttpCallbacks Callbacks;
    /// Request line and headers as sent.
    std::string Head;
    /// Null before connecting and after the call's end.
    h2o_socket_t *Socket = nullptr;
    HttpResponseReader Reader;
    /// Fails the call at HttpCall::Timeout.
    TimerId Timer;
    /// Fails the call at HttpCall::ConnectTimeout.
    TimerId ConnectTimer;
    /// Whether the Head callback has run.
    bool HeadReported = false;
    bool Connected = false;
    bool Paused = false;
    /// Whether the connection came from the pool.
    bool Reused = false;
    /// Whether the whole request was written.
    bool Written = false;
    /// Response bytes so far, headers included.
    size_t Received = 0;
    /// Body bytes counted in State::CollectedBytes.
    size_t CollectedBytes = 0;
    /// Bytes of the body under the limits of the process.
    HeldBytes Held;
    /// Its wait for these bytes; 0: none.
    uint64_t Wait = 0;

    /// @return whether the body, as received or as announced by its
    ///         content-length, is longer than this many bytes.
    bool exceeds(size_t Limit) {
      return this->Reader.contentLength() > Limit ||
             this->Reader.response().Body.size() > Limit;
    }
  };

  /// A connection in the pool.
  struct IdleConnection {
    State *Owner;
    HttpTarget Target;
    h2o_socket_t *Socket;
    /// HttpCall::Identity of its previous call.
    std::string LastIdentity;
    /// Closes the connection.
    TimerId Timer;
  };

  /// The most recently used connection is at the end.
  using IdleList = std::list<std::unique_ptr<IdleConnection>>;

  explicit State(Loop &Events) : Events(Events) {}

  Loop &Events;
  /// The connection pool.
  std::map<HttpTarget, IdleList> Pool;
  /// Calls in progress, by id.
  std::unordered_map<uint64_t, std::unique_ptr<ActiveCall>> Calls;
  /// The last id assigned.
  uint64_t LastCall = 0;
  /// Bytes of all bodies being collected, see MaxCollectedBytes.
  size_t CollectedBytes = 0;
  /// Null: none.
  std::shared_ptr<ClientLimits> Limits;

  /// @return the call; null if it is over.
  ActiveCall *find(uint64_t Id) {
    const auto Found = this->Calls.find(Id);
    return Found == this->Calls.end() ? nullptr : Found->second.get();
  }

  /// Removes the most recently used connection that a call may use from the
  /// pool.
  /// @return null if there is none.
  std::unique_ptr<IdleConnection> takeIdle(const HttpCall &Call) {
    const auto Found = this->Pool.find(Call.Target);
    if (!Call.Reuse || Found == this->Pool.end())
      return nullptr;
    IdleList &List = Found->second;
    const auto Usable = std::find_if(
        List.rbegin(), List.rend(), [&Call](const auto &Connection) {
          return Call.Identity.empty() ||
                 Connection->LastIdentity != Call.Identity;
        });
    if (Usable == List.rend())
      return nullptr;
    std::unique_ptr<IdleConnection> Taken = std::move(*Usable);
    List.erase(std::next(Usable).base());
    return Taken;
  }

  /// Takes a connection from the pool or opens one.
  void connect(ActiveCall &Call) {
    if (const std::unique_ptr<IdleConnection> Connection =
            this->takeIdle(Call.Call)) {
      this->Events.cancel(Connection->Timer);
      Call.Socket = Connection->Socket;
      Call.Reused = true;
      Call.Socket->data = &Call;
      h2o_socket_read_stop(Call.Socket);
      this->sendRequest(Call);
      return;
    }
    sockaddr_in Address = socketAddress(Call.Call.Target);
    Call.Socket = h2o_socket_connect(this->Events.h2oLoop(),
                                     reinterpret_cast<sockaddr *>(&Address),
                                     sizeof(Address), State::onConnect);
    if (Call.Socket == nullptr) {
      this->failLater(Call, "no socket");
      return;
    }
    Call.Socket->data = &Call;
  }

  /// @param Failure null if the connection is established.
  static void onConnect(h2o_socket_t *Socket, const char *Failure) {
    auto &Call = *static_cast<ActiveCall *>(Socket->data);
    if (Failure != nullptr) {
      Call.Owner->fail(Call.Id, Failure);
      return;
    }
    disableNagle(h2o_socket_get_fd(Socket));
    if (Call.Owner->Limits != nullptr)
      limitEndpointBuffers(h2o_socket_get_fd(Socket));
    Call.Owner->sendRequest(Call);
  }

  /// Writes the request and starts to read: a server may respond before it has
  /// read the whole request.
  void sendRequest(ActiveCall &Call) {
    Call.Connected = true;
    this->Events.cancel(Call.ConnectTimer);
    std::array<h2o_iovec_t, 2> Parts{toVector(Call.Head),
                                     toVector(Call.Call.body())};
    h2o_socket_write(Call.Socket, Parts.data(),
                     Call.Call.body().empty() ? 1 : Parts.size(),
                     State::onWritten);
    h2o_socket_read_start(Call.Socket, State::onRead);
  }

  /// @param Failure null if the request was written.
  static void onWritten(h2o_socket_t *Socket, const char *Failure) {
    auto &Call = *static_cast<ActiveCall *>(Socket->data);
    // A response that arrived before the failure is still read.
    Call.Written = Failure == nullptr;
  }

  /// @param Failure null if bytes arrived; else the connection ended.
  static void onRead(h2o_socket_t *Socket, const char *Failure) {
    auto &Call = *static_cast<ActiveCall *>(Socket->data);
    State &Self = *Call.Owner;
    const uint64_t Id = Call.Id;
    if (Failure != nullptr) {
      const bool Orderly = Failure == h2o_socket_error_closed;
      if (Orderly && Call.Reader.parseEnd() == ReadState::Complete)
        Self.progress(Id, ReadState::Complete);
      else
        Self.fail(Id, Orderly ? "connection closed" : Failure);
      return;
    }
    const std::string_view Bytes(Socket->input->bytes, Socket->input->size);
    Call.Received += Bytes.size();
    const ReadState State = Call.Reader.parse(Bytes);
    h2o_buffer_consume(&Socket->input, Socket->input->size);
    Self.progress(Id, State);
  }

  /// Updates the count of collected bytes. If they exceed the limit, the call
  /// with the largest body fails.
  /// @param Call a call whose body is collected.
  void countCollected(ActiveCall &Call) {
    if (Call.Call.MaxBodyBytes > DefaultMaxBodyBytes)
      return;
    this->CollectedBytes -= Call.CollectedBytes;
    Call.CollectedBytes = Call.Reader.response().Body.size();
    this->CollectedBytes += Call.CollectedBytes;
    if (this->CollectedBytes <= MaxCollectedBytes)
      return;
    const auto Largest =
        std::ranges::max_element(this->Calls, {}, [](const auto &Each) {
          return Each.second->CollectedBytes;
        });
    this->fail(
        Largest->first,
        "the response bodies being collected exceed the client's memory limit",
        ErrorKind::TooLarge);
  }

  /// Counts a body that is collected under the limits of the process. Stops to
  /// read a large one that does not fit.
  void collectWithinLimits(ActiveCall &Call, ReadState Read) {
    if (this->Limits == nullptr || Call.Wait != 0)
      return;
    const auto Length = static_cast<int64_t>(Call.Reader.contentLength());
    const auto Collected =
        static_cast<int64_t>(Call.Reader.response().Body.size());
    if (Read == ReadState::Complete || Call.Held.bytes() > 0 ||
        Length < static_cast<int64_t>(MinAwaitedBytes)) {
      Call.Held.set(std::max(Call.Held.bytes(), Collected));
      return;
    }
    // Growing step by step would hold the body twice.
    Call.Reader.response().Body.reserve(static_cast<size_t>(Length));
    if (this->Limits->reserve(Length)) {
      Call.Held.adopt(Length);
      return;
    }
    h2o_socket_read_stop(Call.Socket);
    Call.Wait = this->Limits->wait(Length, [this, Id = Call.Id, Length] {
      ActiveCall *Waiting = this->find(Id);
      Waiting->Wait = 0;
      Waiting->Held.adopt(Length);
      h2o_socket_read_start(Waiting->Socket, State::onRead);
    });
  }

  /// Runs the callbacks after a read. Any of them may cancel the call.
  void progress(uint64_t Id, ReadState State) {
    if (State == ReadState::Invalid) {
      this->fail(Id, "the bytes received are not a valid HTTP response",
                 ErrorKind::BadInput);
      return;
    }
    ActiveCall *Call = this->find(Id);
    if (!Call->Reader.hasHead())
      return;
    if (!Call->HeadReported) {
      Call->HeadReported = true;
      const HttpResponse &Response = Call->Reader.response();
      const HttpResponse Head{Response.Status, Response.ContentType,
                              Response.Headers, "", Response.Framed};
      if (Call->Callbacks.Head)
        Call->Callbacks.Head(Head);
      Call = this->find(Id);
    }
    if (Call == nullptr)
      return;
    if (!Call->Callbacks.Chunk && Call->exceeds(Call->Call.MaxBodyBytes)) {
      this->fail(Id, "the response body exceeds its size limit",
                 ErrorKind::TooLarge);
      return;
    }
    if (!Call->Callbacks.Chunk) {
      this->countCollected(*Call);
      Call = this->find(Id);
      if (Call == nullptr)
        return;
      this->collectWithinLimits(*Call, State);
    }
    std::string &Body = Call->Reader.response().Body;
    if (Call->Callbacks.Chunk && !Body.empty()) {
      const std::string Part = std::exchange(Body, std::string());
      Call->Callbacks.Chunk(Part);
      Call = this->find(Id);
    }
    if (Call != nullptr && State == ReadState::Complete)
      this->finish(*Call);
  }

  /// Ends a call whose response is complete.
  void finish(ActiveCall &Call) {
    const bool Reusable = Call.Call.Reuse && Call.Written &&
                          Call.Reader.unread() == 0 && Call.Reader.keepsAlive();
    if (Reusable)
      this->addToPool(std::exchange(Call.Socket, nullptr), Call.Call,
                      idleTime(Call.Reader.response()));
    const std::unique_ptr<ActiveCall> Last = this->removeCall(Call.Id);
    if (Last->Callbacks.Finished)
      Last->Callbacks.Finished(std::move(Last->Reader.response()));
  }

  /// Adds a connection to the pool, or closes it if the pool is full.
  /// @param Last its previous call.
  /// @param Time how long it may stay idle; 0 or less: it is closed at once.
  void addToPool(h2o_socket_t *Socket, const HttpCall &Last, Millis Time) {
    IdleList &List = this->Pool[Last.Target];
    if (Time <= Millis{0} || List.size() >= MaxIdlePerTarget) {
      h2o_socket_close(Socket);
      return;
    }
    auto Made = std::make_unique<IdleConnection>(
        IdleConnection{this, Last.Target, Socket, Last.Identity, {}});
    IdleConnection *Raw = Made.get();
    Socket->data = Raw;
    // Bytes that arrive on an idle connection belong to no request.
    h2o_socket_read_start(Socket, State::onIdleRead);
    Raw->Timer =
        this->Events.callAfter(Time, [this, Raw] { this->closeIdle(Raw); });
    List.push_back(std::move(Made));
  }

  /// The server closed an idle connection or sent unexpected bytes on it.
  static void onIdleRead(h2o_socket_t *Socket, const char *) {
    auto *Connection = static_cast<IdleConnection *>(Socket->data);
    Connection->Owner->Events.cancel(Connection->Timer);
    Connection->Owner->closeIdle(Connection);
  }

  /// Closes an idle connection and removes it from the pool.
  void closeIdle(IdleConnection *Connection) {
    IdleList &List = this->Pool[Connection->Target];
    h2o_socket_close(Connection->Socket);
    std::erase_if(List, [Connection](const auto &Each) {
      return Each.get() == Connection;
    });
  }

  /// Closes all idle connections to a target.
  void closeAllIdle(const HttpTarget &Target) {
    const auto Found = this->Pool.find(Target);
    if (Found == this->Pool.end())
      return;
    for (const auto &Connection : Found->second) {
      this->Events.cancel(Connection->Timer);
      h2o_socket_close(Connection->Socket);
    }
    this->Pool.erase(Found);
  }

  void onTimeout(uint64_t Id) {
    const ActiveCall *Call = this->find(Id);
    if (Call != nullptr && Call->Reused)
      this->closeAllIdle(Call->Call.Target);
    this->fail(Id, "timeout");
  }

  /// Removes a call and closes its connection.
  /// @return the call, for its last callback.
  std::unique_ptr<ActiveCall> removeCall(uint64_t Id) {
    auto Node = this->Calls.extract(Id);
    std::unique_ptr<ActiveCall> Last = std::move(Node.mapped());
    this->Events.cancel(Last->Timer);
    this->Events.cancel(Last->ConnectTimer);
    this->CollectedBytes -= Last->CollectedBytes;
    if (this->Limits != nullptr && Last->Wait != 0)
      this->Limits->stopWaiting(Last->Wait);
    if (Last->Socket != nullptr)
      h2o_socket_close(std::exchange(Last->Socket, nullptr));
    return Last;
  }

  /// Ends a call and runs its Failed callback.
  /// @param Id ignored if the call is over.
  void fail(uint64_t Id, std::string_view Cause,
            ErrorKind Kind = ErrorKind::Unavailable) {
    const ActiveCall *Call = this->find(Id);
    if (Call == nullptr)
      return;
    const HttpFailure Failure{callError(Call->Call, Cause, Kind),
                              !Call->Connected, Call->Received};
    const std::unique_ptr<ActiveCall> Last = this->removeCall(Id);
    if (Last->Callbacks.Failed)
      Last->Callbacks.Failed(Failure);
  }

  /// Fails a call in the next turn of the loop, because no callback may run
  /// before start() returns.
  void failLater(const ActiveCall &Call, const char *Cause) {
    this->Events.defer([this, Id = Call.Id, Cause] { this->fail(Id, Cause); });
  }
};

HttpClient::HttpClient(Loop &Events) : Inner(std::make_unique<State>(Events)) {}

HttpClient::~HttpClient() {
  while (!this->Inner->Calls.empty())
    this->Inner->removeCall(this->Inner->Calls.begin()->first);
  for (const auto &[Target, List] : this->Inner->Pool)
    for (const auto &Connection : List) {
      this->Inner->Events.cancel(Connection->Timer);
      h2o_socket_close(Connection->Socket);
    }
  // The state is leaked because deferred failures may still refer to it; a
  // client lives as long as its process.
  (void)this->Inner.release();
}

HttpCallId HttpClient::start(HttpCall Call, HttpCallbacks Callbacks) {
  State &Self = *this->Inner;
  auto Made = std::make_unique<State::ActiveCall>(&Self, std::move(Call),
                                                  std::move(Callbacks));
  State::ActiveCall &New = *Made;
  New.Held.attach(Self.Limits);
  New.Id = ++Self.LastCall;
  const uint64_t Id = New.Id;
  Self.Calls.emplace(Id, std::move(Made));
  if (New.Call.Timeout > Millis{0})
    New.Timer = Self.Events.callAfter(New.Call.Timeout,
                                      [&Self, Id] { Self.onTimeout(Id); });
  if (New.Call.ConnectTimeout > Millis{0})
    New.ConnectTimer =
        Self.Events.callAfter(New.Call.ConnectTimeout, [&Self, Id] {
          Self.fail(Id, "connect timeout");
        });
  if (isSendable(New.Call))
    Self.connect(New);
  else
    Self.failLater(
        New,
        "the request head contains a line end or NUL, or its path a space");
  return HttpCallId{Id};
}

void HttpClient::setLimits(std::shared_ptr<ClientLimits> Limits) {
  this->Inner->Limits = std::move(Limits);
}

void HttpClient::cancel(HttpCallId Call) {
  if (this->Inner->find(Call.Value) == nullptr)
    return;
  // If a callback of the call cancels it, that callback and its captures must
  // stay alive until it returns.
  const std::shared_ptr<State::ActiveCall> Last =
      this->Inner->removeCall(Call.Value);
  this->Inner->Events.defer([Last] {});
}

void HttpClient::pause(HttpCallId Call) {
  State::ActiveCall *Active = this->Inner->find(Call.Value);
  if (Active == nullptr || !Active->Connected)
    return;
  Active->Paused = true;
  h2o_socket_read_stop(Active->Socket);
}

void HttpClient::resume(HttpCallId Call) {
  State::ActiveCall *Active = this->Inner->find(Call.Value);
  if (Active == nullptr || !std::exchange(Active->Paused, false))
    return;
  h2o_socket_read_start(Active->Socket, State::onRead);
}

void HttpClient::collect(HttpCallId Call) {
  if (State::ActiveCall *Active = this->Inner->find(Call.Value))
    Active->Callbacks.Chunk = nullptr;
}

void HttpClient::closeIdle(const HttpTarget &Target) {
  this->Inner->closeAllIdle(Target);
}

} // namespace camphornotch
