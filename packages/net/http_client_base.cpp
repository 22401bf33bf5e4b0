/// @file
/// HTTP/1.1 client on h2o's sockets.

#include "net/http_client_base.h"

#include "base/clock_func.h"
#include "net/h2o_internal.h"
#include "net/http_head_internal.h"
#include "net/http_parser_internal.h"
#include "net/listen_internal.h"

#include <absl/strings/numbers.h>
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

/// Idle time of a pooled connection if the server sends no keep-alive timeout.
constexpr Millis IdleKeep{4'000};
/// Limit on the idle time, whatever the server allows.
constexpr Millis IdleKeepMost{30'000};
/// Idle connections are closed this long before the server's timeout, so that
/// no request is sent while the server closes.
constexpr Millis IdleMargin{700};
/// Further connections are closed after their call.
constexpr size_t MaxIdlePerTarget = 16;

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

/// @return how long a connection may stay idle after this response; 0 or less:
///         it is not pooled.
Millis idleTime(const HttpResponse &Response) {
  constexpr std::string_view Parameter = "timeout=";
  const std::string_view Said = findHeader(Response.Headers, "keep-alive");
  const size_t At = Said.find(Parameter);
  if (At == std::string_view::npos)
    return IdleKeep;
  const std::string_view Rest = Said.substr(At + Parameter.size());
  int64_t Seconds = 0;
  if (!absl::SimpleAtoi(
          absl::string_view(Rest.data(), std::min(Rest.find(','), Rest.size())),
          &Seconds))
    return IdleKeep;
  return std::min(IdleKeepMost, seconds(Seconds) - IdleMargin);
}

} // namespace

struct HttpClient::State {
  /// A call in progress.
  struct Running {
    Running(State *Owner, HttpCall Call, HttpEvents Tell)
        : Owner(Owner), Call(std::move(Call)), Tell(std::move(Tell)),
          Head(requestHead(this->Call)), Reader(this->Call.Method == "HEAD") {}
    State *Owner;
    uint64_t Id = 0;
    HttpCall Call;
    HttpEvents Tell;
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
    bool HeadTold = false;
    bool Connected = false;
    bool Paused = false;
    /// Whether the connection came from the pool.
    bool Reused = false;
    /// Whether the whole request was written.
    bool Written = false;
    /// Response bytes so far, headers included.
    size_t Received = 0;
    /// Body bytes counted in State::Held.
    size_t Held = 0;

    /// @return whether the body, as received or as announced by its
    ///         content-length, is longer than this many bytes.
    bool exceeds(size_t Most) {
      return this->Reader.announced() > Most ||
             this->Reader.response().Body.size() > Most;
    }
  };

  /// A connection in the pool.
  struct Idle {
    State *Owner;
    HttpTarget Target;
    h2o_socket_t *Socket;
    /// Closes the connection.
    TimerId Timer;
  };

  /// The most recently used connection is at the end.
  using IdleList = std::list<std::unique_ptr<Idle>>;

  explicit State(Loop &Events) : Events(Events) {}

  Loop &Events;
  /// The connection pool.
  std::map<HttpTarget, IdleList> Kept;
  /// Calls in progress, by id.
  std::unordered_map<uint64_t, std::unique_ptr<Running>> Calls;
  /// The last id assigned.
  uint64_t LastCall = 0;
  /// Bytes of all bodies being collected, see MostHeldBytes.
  size_t Held = 0;

  /// @return the call; null if it is over.
  Running *find(uint64_t Id) {
    const auto Found = this->Calls.find(Id);
    return Found == this->Calls.end() ? nullptr : Found->second.get();
  }

  /// Takes a connection from the pool or opens one.
  void connect(Running &Call) {
    const auto Found = this->Kept.find(Call.Call.Target);
    if (Call.Call.Reuse && Found != this->Kept.end() &&
        !Found->second.empty()) {
      const std::unique_ptr<Idle> Free = std::move(Found->second.back());
      Found->second.pop_back();
      this->Events.cancel(Free->Timer);
      Call.Socket = Free->Socket;
      Call.Reused = true;
      Call.Socket->data = &Call;
      h2o_socket_read_stop(Call.Socket);
      this->sendRequest(Call);
      return;
    }
    sockaddr_in Address = socketAddress(Call.Call.Target);
    Call.Socket = h2o_socket_connect(this->Events.raw(),
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
    auto &Call = *static_cast<Running *>(Socket->data);
    if (Failure != nullptr) {
      Call.Owner->fail(Call.Id, Failure);
      return;
    }
    sendAtOnce(h2o_socket_get_fd(Socket));
    Call.Owner->sendRequest(Call);
  }

  /// Writes the request and starts to read: a server may respond before it has
  /// read the whole request.
  void sendRequest(Running &Call) {
    Call.Connected = true;
    this->Events.cancel(Call.ConnectTimer);
    std::array<h2o_iovec_t, 2> Parts{toVector(Call.Head),
                                     toVector(Call.Call.Body)};
    h2o_socket_write(Call.Socket, Parts.data(),
                     Call.Call.Body.empty() ? 1 : Parts.size(),
                     State::onWritten);
    h2o_socket_read_start(Call.Socket, State::onRead);
  }

  /// @param Failure null if the request was written.
  static void onWritten(h2o_socket_t *Socket, const char *Failure) {
    auto &Call = *static_cast<Running *>(Socket->data);
    // A response that arrived before the failure is still read.
    Call.Written = Failure == nullptr;
  }

  /// @param Failure null if bytes arrived; else the connection ended.
  static void onRead(h2o_socket_t *Socket, const char *Failure) {
    auto &Call = *static_cast<Running *>(Socket->data);
    State &Self = *Call.Owner;
    const uint64_t Id = Call.Id;
    if (Failure != nullptr) {
      const bool Orderly = Failure == h2o_socket_error_closed;
      if (Orderly && Call.Reader.takeEnd() == ReadState::Complete)
        Self.progress(Id, ReadState::Complete);
      else
        Self.fail(Id, Orderly ? "connection closed" : Failure);
      return;
    }
    const std::string_view Bytes(Socket->input->bytes, Socket->input->size);
    Call.Received += Bytes.size();
    const ReadState State = Call.Reader.take(Bytes);
    h2o_buffer_consume(&Socket->input, Socket->input->size);
    Self.progress(Id, State);
  }

  /// Updates the count of collected bytes. If they exceed the limit, the call
  /// with the largest body fails.
  /// @param Call a call whose body is collected.
  void count(Running &Call) {
    if (Call.Call.MostBodyBytes > DefaultMostBodyBytes)
      return;
    this->Held -= Call.Held;
    Call.Held = Call.Reader.response().Body.size();
    this->Held += Call.Held;
    if (this->Held <= MostHeldBytes)
      return;
    const auto Most = std::ranges::max_element(
        this->Calls, {}, [](const auto &Each) { return Each.second->Held; });
    this->fail(
        Most->first,
        "the response bodies being collected exceed the client's memory limit",
        ErrorKind::TooLarge);
  }

  /// Runs the callbacks after a read. Any of them may cancel the call.
  void progress(uint64_t Id, ReadState State) {
    if (State == ReadState::Invalid) {
      this->fail(Id, "the bytes received are not a valid HTTP response",
                 ErrorKind::BadInput);
      return;
    }
    Running *Call = this->find(Id);
    if (!Call->Reader.hasHead())
      return;
    if (!Call->HeadTold) {
      Call->HeadTold = true;
      const HttpResponse &Whole = Call->Reader.response();
      const HttpResponse Head{Whole.Status, Whole.ContentType, Whole.Headers,
                              "", Whole.Framed};
      if (Call->Tell.Head)
        Call->Tell.Head(Head);
      Call = this->find(Id);
    }
    if (Call == nullptr)
      return;
    if (!Call->Tell.Chunk && Call->exceeds(Call->Call.MostBodyBytes)) {
      this->fail(Id, "the response body exceeds its size limit",
                 ErrorKind::TooLarge);
      return;
    }
    if (!Call->Tell.Chunk) {
      this->count(*Call);
      Call = this->find(Id);
      if (Call == nullptr)
        return;
    }
    std::string &Body = Call->Reader.response().Body;
    if (Call->Tell.Chunk && !Body.empty()) {
      const std::string Part = std::exchange(Body, std::string());
      Call->Tell.Chunk(Part);
      Call = this->find(Id);
    }
    if (Call != nullptr && State == ReadState::Complete)
      this->finish(*Call);
  }

  /// Ends a call whose response is complete.
  void finish(Running &Call) {
    const bool Keeps = Call.Call.Reuse && Call.Written &&
                       Call.Reader.unread() == 0 && Call.Reader.keepsAlive();
    if (Keeps)
      this->keep(std::exchange(Call.Socket, nullptr), Call.Call.Target,
                 idleTime(Call.Reader.response()));
    const std::unique_ptr<Running> Last = this->take(Call.Id);
    if (Last->Tell.Finished)
      Last->Tell.Finished(std::move(Last->Reader.response()));
  }

  /// Adds a connection to the pool, or closes it if the pool is full.
  /// @param Time how long it may stay idle; 0 or less: it is closed at once.
  void keep(h2o_socket_t *Socket, const HttpTarget &Target, Millis Time) {
    IdleList &List = this->Kept[Target];
    if (Time <= Millis{0} || List.size() >= MaxIdlePerTarget) {
      h2o_socket_close(Socket);
      return;
    }
    auto Made = std::make_unique<Idle>(Idle{this, Target, Socket, {}});
    Idle *Raw = Made.get();
    Socket->data = Raw;
    // Bytes that arrive on an idle connection belong to no request.
    h2o_socket_read_start(Socket, State::onIdleRead);
    Raw->Timer =
        this->Events.callAfter(Time, [this, Raw] { this->dropIdle(Raw); });
    List.push_back(std::move(Made));
  }

  /// The server closed an idle connection or sent unexpected bytes on it.
  static void onIdleRead(h2o_socket_t *Socket, const char *) {
    auto *Free = static_cast<Idle *>(Socket->data);
    Free->Owner->Events.cancel(Free->Timer);
    Free->Owner->dropIdle(Free);
  }

  /// Closes an idle connection and removes it from the pool.
  void dropIdle(Idle *Free) {
    IdleList &List = this->Kept[Free->Target];
    h2o_socket_close(Free->Socket);
    std::erase_if(List,
                  [Free](const auto &Each) { return Each.get() == Free; });
  }

  /// Closes all idle connections to a target.
  void dropAllIdle(const HttpTarget &Target) {
    const auto Found = this->Kept.find(Target);
    if (Found == this->Kept.end())
      return;
    for (const auto &Free : Found->second) {
      this->Events.cancel(Free->Timer);
      h2o_socket_close(Free->Socket);
    }
    this->Kept.erase(Found);
  }

  void onTimeout(uint64_t Id) {
    const Running *Call = this->find(Id);
    if (Call != nullptr && Call->Reused)
      this->dropAllIdle(Call->Call.Target);
    this->fail(Id, "timeout");
  }

  /// Removes a call and closes its connection.
  /// @return the call, for its last callback.
  std::unique_ptr<Running> take(uint64_t Id) {
    auto Node = this->Calls.extract(Id);
    std::unique_ptr<Running> Last = std::move(Node.mapped());
    this->Events.cancel(Last->Timer);
    this->Events.cancel(Last->ConnectTimer);
    this->Held -= Last->Held;
    if (Last->Socket != nullptr)
      h2o_socket_close(std::exchange(Last->Socket, nullptr));
    return Last;
  }

  /// Ends a call and runs its Failed callback.
  /// @param Id ignored if the call is over.
  void fail(uint64_t Id, std::string_view Cause,
            ErrorKind Kind = ErrorKind::Unavailable) {
    const Running *Call = this->find(Id);
    if (Call == nullptr)
      return;
    const HttpFailure Failure{callError(Call->Call, Cause, Kind),
                              !Call->Connected, Call->Received};
    const std::unique_ptr<Running> Last = this->take(Id);
    if (Last->Tell.Failed)
      Last->Tell.Failed(Failure);
  }

  /// Fails a call in the next turn of the loop, because no callback may run
  /// before start() returns.
  void failLater(const Running &Call, const char *Cause) {
    this->Events.defer([this, Id = Call.Id, Cause] { this->fail(Id, Cause); });
  }
};

HttpClient::HttpClient(Loop &Events) : Inner(std::make_unique<State>(Events)) {}

HttpClient::~HttpClient() {
  while (!this->Inner->Calls.empty())
    this->Inner->take(this->Inner->Calls.begin()->first);
  for (const auto &[Target, List] : this->Inner->Kept)
    for (const auto &Free : List) {
      this->Inner->Events.cancel(Free->Timer);
      h2o_socket_close(Free->Socket);
    }
  // The state is leaked because deferred failures may still refer to it; a
  // client lives as long as its process.
  (void)this->Inner.release();
}

HttpCallId HttpClient::start(HttpCall Call, HttpEvents Events) {
  State &Self = *this->Inner;
  auto Made = std::make_unique<State::Running>(&Self, std::move(Call),
                                               std::move(Events));
  State::Running &New = *Made;
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

void HttpClient::cancel(HttpCallId Call) {
  if (this->Inner->find(Call.Value) == nullptr)
    return;
  // If a callback of the call cancels it, that callback and its captures must
  // stay alive until it returns.
  const std::shared_ptr<State::Running> Last = this->Inner->take(Call.Value);
  this->Inner->Events.defer([Last] {});
}

void HttpClient::pause(HttpCallId Call) {
  State::Running *Each = this->Inner->find(Call.Value);
  if (Each == nullptr || !Each->Connected)
    return;
  Each->Paused = true;
  h2o_socket_read_stop(Each->Socket);
}

void HttpClient::resume(HttpCallId Call) {
  State::Running *Each = this->Inner->find(Call.Value);
  if (Each == nullptr || !std::exchange(Each->Paused, false))
    return;
  h2o_socket_read_start(Each->Socket, State::onRead);
}

void HttpClient::dropIdle(const HttpTarget &Target) {
  this->Inner->dropAllIdle(Target);
}

} // namespace camphornotch
