/// @file
/// HTTP client on h2o's sockets.

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

/// Longest time that an idle connection is kept if the server names none.
constexpr Millis IdleKeep{4'000};
/// Longest time that an idle connection is kept.
constexpr Millis IdleKeepMost{30'000};
/// Time before the server's own limit at which an idle connection is closed,
/// so that no request crosses the server's close.
constexpr Millis IdleMargin{700};
/// Idle connections kept to one target.
constexpr size_t MaxIdlePerTarget = 16;

/// @param Call a call.
/// @param Cause what happened.
/// @param Kind its kind.
/// @return the error for the caller.
Error callError(const HttpCall &Call, std::string_view Cause, ErrorKind Kind) {
  return Error{Kind,
               absl::StrCat(Call.Method, " ", Call.Target.Address, ":",
                            Call.Target.Port, Call.Path, ": ",
                            std::string(Cause)),
               Kind == ErrorKind::Unavailable
                   ? "see whether the process at this address runs"
                   : "see what the process at this address sends"};
}

/// @param Response a head.
/// @return how long its connection may stay idle.
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

/// The client's state.
struct HttpClient::State {
  /// One call under way.
  struct Running {
    /// @param Owner the client.
    /// @param Call the request.
    /// @param Tell what to tell.
    Running(State *Owner, HttpCall Call, HttpEvents Tell)
        : Owner(Owner), Call(std::move(Call)), Tell(std::move(Tell)),
          Head(requestHead(this->Call)), Reader(this->Call.Method == "HEAD") {}
    /// The client.
    State *Owner;
    /// The call's name.
    uint64_t Id = 0;
    /// The request.
    HttpCall Call;
    /// What to tell.
    HttpEvents Tell;
    /// The head as sent.
    std::string Head;
    /// The connection; null until it is begun and once the call is over.
    h2o_socket_t *Socket = nullptr;
    /// Reads the answer.
    HttpResponseReader Reader;
    /// Ends the call when its time is over.
    TimerId Timer;
    /// Ends the call when no connection could be made in time.
    TimerId ConnectTimer;
    /// Whether the head of the answer was told.
    bool HeadTold = false;
    /// Whether a connection was had.
    bool Connected = false;
    /// Whether its answer is not read for now.
    bool Paused = false;
    /// Whether the connection was kept from an earlier call.
    bool Reused = false;
    /// Whether the request was written whole.
    bool Written = false;
    /// Bytes of the answer so far.
    size_t Received = 0;
    /// Bytes of the body that count among those held.
    size_t Held = 0;

    /// @param Most a number of bytes.
    /// @return whether the body is longer, or will be by its head.
    bool exceeds(size_t Most) {
      return this->Reader.announced() > Most ||
             this->Reader.response().Body.size() > Most;
    }
  };

  /// A kept connection.
  struct Idle {
    /// The client.
    State *Owner;
    /// Where it leads.
    HttpTarget Target;
    /// The connection.
    h2o_socket_t *Socket;
    /// Closes it.
    TimerId Timer;
  };

  /// Kept connections, the last used last.
  using IdleList = std::list<std::unique_ptr<Idle>>;

  /// @param Events the loop.
  explicit State(Loop &Events) : Events(Events) {}

  /// The loop.
  Loop &Events;
  /// Kept connections by target.
  std::map<HttpTarget, IdleList> Kept;
  /// Calls under way.
  std::unordered_map<uint64_t, std::unique_ptr<Running>> Calls;
  /// The last name given out.
  uint64_t LastCall = 0;
  /// Bytes held of bodies that are being collected.
  size_t Held = 0;

  /// @param Id a call.
  /// @return it, or null.
  Running *find(uint64_t Id) {
    const auto Found = this->Calls.find(Id);
    return Found == this->Calls.end() ? nullptr : Found->second.get();
  }

  /// Gets a connection for a call.
  /// @param Call the call.
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

  /// The connection is made, or could not be.
  static void onConnect(h2o_socket_t *Socket, const char *Failure) {
    auto &Call = *static_cast<Running *>(Socket->data);
    if (Failure != nullptr) {
      Call.Owner->fail(Call.Id, Failure);
      return;
    }
    sendAtOnce(h2o_socket_get_fd(Socket));
    Call.Owner->sendRequest(Call);
  }

  /// Writes the request and reads what comes, which may come before the end.
  /// @param Call the call, with a connection.
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

  /// The request is written, or could not be.
  static void onWritten(h2o_socket_t *Socket, const char *Failure) {
    auto &Call = *static_cast<Running *>(Socket->data);
    // After a failure, what was received so far is still read.
    Call.Written = Failure == nullptr;
  }

  /// Bytes arrived, or the end of the connection.
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

  /// Counts what a call holds; if all hold too much, that with most is cut.
  /// @param Call the call, whose body is collected.
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
    this->fail(Most->first, "answers under way hold too much",
               ErrorKind::TooLarge);
  }

  /// Tells what a read brought.
  /// @param Id the call.
  /// @param State how far the answer is.
  void progress(uint64_t Id, ReadState State) {
    if (State == ReadState::Invalid) {
      this->fail(Id, "the bytes received are no answer", ErrorKind::BadInput);
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
      this->fail(Id, "the body is over its limit", ErrorKind::TooLarge);
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

  /// Ends a call that has its whole answer.
  /// @param Call the call.
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

  /// Keeps a connection for later calls.
  /// @param Socket the connection.
  /// @param Target where it leads.
  /// @param Time how long.
  void keep(h2o_socket_t *Socket, const HttpTarget &Target, Millis Time) {
    IdleList &List = this->Kept[Target];
    if (Time <= Millis{0} || List.size() >= MaxIdlePerTarget) {
      h2o_socket_close(Socket);
      return;
    }
    auto Made = std::make_unique<Idle>(Idle{this, Target, Socket, {}});
    Idle *Raw = Made.get();
    Socket->data = Raw;
    // Bytes that come now belong to no request.
    h2o_socket_read_start(Socket, State::onIdleRead);
    Raw->Timer =
        this->Events.callAfter(Time, [this, Raw] { this->dropIdle(Raw); });
    List.push_back(std::move(Made));
  }

  /// A kept connection was closed, or brought bytes nobody asked for.
  static void onIdleRead(h2o_socket_t *Socket, const char *) {
    auto *Free = static_cast<Idle *>(Socket->data);
    Free->Owner->Events.cancel(Free->Timer);
    Free->Owner->dropIdle(Free);
  }

  /// Closes a kept connection.
  /// @param Free the connection.
  void dropIdle(Idle *Free) {
    IdleList &List = this->Kept[Free->Target];
    h2o_socket_close(Free->Socket);
    std::erase_if(List,
                  [Free](const auto &Each) { return Each.get() == Free; });
  }

  /// Closes all kept connections to a target.
  /// @param Target the target.
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

  /// The time of a call is over.
  /// @param Id the call.
  void onTimeout(uint64_t Id) {
    const Running *Call = this->find(Id);
    if (Call != nullptr && Call->Reused)
      this->dropAllIdle(Call->Call.Target);
    this->fail(Id, "timeout");
  }

  /// Forgets a call and closes its connection.
  /// @param Id the call.
  /// @return it, for the last event.
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

  /// Ends a call that failed.
  /// @param Id the call; one that is over is ignored.
  /// @param Cause what happened.
  /// @param Kind its kind.
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

  /// Ends a call that cannot begin, in the next turn.
  /// @param Call the call.
  /// @param Cause why.
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
  // Deferred failures still point at the state; a client lives as long as its
  // process.
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
    Self.failLater(New, "the head holds an end of line");
  return HttpCallId{Id};
}

void HttpClient::cancel(HttpCallId Call) {
  if (this->Inner->find(Call.Value) == nullptr)
    return;
  // The call may be cancelled from within one of its own events, whose
  // captures must outlive it.
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
