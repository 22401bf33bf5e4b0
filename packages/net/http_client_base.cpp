/// @file
/// HTTP client on h2o's.

#include "net/http_client_base.h"

#include "net/h2o_internal.h"
#include "net/listen_internal.h"

#include <absl/strings/str_cat.h>
#include <cassert>
#include <map>
#include <unordered_map>
#include <utility>

namespace camphornotch {

namespace {

/// Time that an idle connection is kept, in milliseconds.
constexpr uint64_t IdleKeepMs = 4'000;
/// h2o's own limit between bytes, in milliseconds; calls have their own.
constexpr uint64_t IoTimeoutMs = 3'600'000;

/// @param Call a request.
/// @return its head as sent.
std::string requestHead(const HttpCall &Call) {
  std::string Head = absl::StrCat(Call.Method, " ", Call.Path, " HTTP/1.1\r\n");
  if (Call.Host.empty())
    absl::StrAppend(&Head, "host: ", Call.Target.Address, ":", Call.Target.Port,
                    "\r\n");
  else
    absl::StrAppend(&Head, "host: ", Call.Host, "\r\n");
  for (const HttpHeader &Header : Call.Headers)
    absl::StrAppend(&Head, Header.Name, ": ", Header.Value, "\r\n");
  const bool HasBody = !Call.Body.empty() || Call.Method == "POST" ||
                       Call.Method == "PUT" || Call.Method == "PATCH";
  if (HasBody)
    absl::StrAppend(&Head, "content-length: ", Call.Body.size(), "\r\n");
  absl::StrAppend(&Head, "connection: ", Call.Reuse ? "keep-alive" : "close",
                  "\r\n\r\n");
  return Head;
}

/// @param Text a part of a request's head.
/// @return whether it would end its line, and so change the request.
bool breaksLine(std::string_view Text) {
  constexpr std::string_view LineEnds("\r\n\0", 3);
  return Text.find_first_of(LineEnds) != std::string_view::npos;
}

/// @param Call a request.
/// @return whether its head can be sent as it is.
bool isSendable(const HttpCall &Call) {
  for (const HttpHeader &Header : Call.Headers)
    if (breaksLine(Header.Name) || breaksLine(Header.Value))
      return false;
  const bool Spaced = Call.Path.find(' ') != std::string::npos;
  return !breaksLine(Call.Method) && !breaksLine(Call.Path) &&
         !breaksLine(Call.Host) && !Spaced;
}

/// @param Response a head.
/// @return whether it says where the body ends.
bool isFramed(const HttpResponse &Response) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  if (Response.Status == NoContent || Response.Status == NotModified)
    return true;
  return !findHeader(Response.Headers, "content-length").empty() ||
         !findHeader(Response.Headers, "transfer-encoding").empty();
}

/// @param Call a request.
/// @param Cause what h2o says.
/// @return the error for the caller.
Error callError(const HttpCall &Call, std::string_view Cause) {
  return Error{ErrorKind::Unavailable,
               absl::StrCat(Call.Method, " ", Call.Target.Address, ":",
                            Call.Target.Port, Call.Path, ": ",
                            std::string(Cause)),
               "see whether the process at this address runs"};
}

} // namespace

/// The client's state.
struct HttpClient::State {
  /// One call under way.
  struct Running {
    /// The client.
    State *Owner = nullptr;
    /// The call's name.
    uint64_t Id = 0;
    /// The request.
    HttpCall Call;
    /// What to tell.
    HttpEvents Tell;
    /// The head as sent.
    std::string Head;
    /// Head and body, for h2o.
    h2o_iovec_t Parts[2]{};
    /// h2o's call; null once it is over.
    h2o_http1client_t *Raw = nullptr;
    /// The answer so far.
    HttpResponse Response;
    /// Ends the call when its time is over.
    TimerId Timer;
    /// Ends the call when no connection could be made in time.
    TimerId ConnectTimer;
    /// Whether a callback of h2o runs.
    bool InCallback = false;
    /// Whether cancel() was called within it.
    bool Cancelled = false;
    /// Whether a connection was had.
    bool Connected = false;
  };

  /// @param Events the loop.
  explicit State(Loop &Events) : Events(Events) {}

  /// The loop.
  Loop &Events;
  /// h2o's client context.
  h2o_http1client_ctx_t Context{};
  /// Takes answers of the name service, which is never asked.
  h2o_multithread_receiver_t Resolver{};
  /// h2o's limit between bytes.
  h2o_timeout_t IoTimeout{};
  /// Kept connections by target.
  std::map<HttpTarget, std::unique_ptr<h2o_socketpool_t>> Pools;
  /// Calls under way.
  std::unordered_map<uint64_t, std::unique_ptr<Running>> Calls;
  /// The last name given out.
  uint64_t LastCall = 0;

  /// @param Target where to.
  /// @return the kept connections to it.
  h2o_socketpool_t *poolOf(const HttpTarget &Target) {
    std::unique_ptr<h2o_socketpool_t> &Pool = this->Pools[Target];
    if (Pool == nullptr) {
      Pool = std::make_unique<h2o_socketpool_t>();
      sockaddr_in Address = socketAddress(Target);
      h2o_socketpool_init_by_address(Pool.get(),
                                     reinterpret_cast<sockaddr *>(&Address),
                                     sizeof(Address), 0, SIZE_MAX);
      h2o_socketpool_set_timeout(Pool.get(), this->Events.raw(), IdleKeepMs);
    }
    return Pool.get();
  }

  /// Hands a call to h2o.
  /// @param Call the call.
  void connect(Running &Call) {
    Call.InCallback = true;
    if (Call.Call.Reuse)
      h2o_http1client_connect_with_pool(&Call.Raw, &Call, &this->Context,
                                        this->poolOf(Call.Call.Target),
                                        State::onConnect);
    else
      h2o_http1client_connect(&Call.Raw, &Call, &this->Context,
                              toVector(Call.Call.Target.Address),
                              Call.Call.Target.Port, 0, State::onConnect);
    Call.InCallback = false;
  }

  /// Forgets a call.
  /// @param Call the call; h2o is done with it.
  /// @return it, for the last event.
  std::unique_ptr<Running> take(Running &Call) {
    Call.Raw = nullptr;
    this->Events.cancel(Call.Timer);
    this->Events.cancel(Call.ConnectTimer);
    auto Node = this->Calls.extract(Call.Id);
    return std::move(Node.mapped());
  }

  /// Ends a call that failed, outside of the present callback.
  /// @param Call the call; h2o is done with it.
  /// @param Cause what h2o says.
  void fail(Running &Call, const char *Cause) {
    Call.Raw = nullptr;
    const HttpFailure Failure{callError(Call.Call, Cause), !Call.Connected};
    this->Events.defer([this, Id = Call.Id, Failure] {
      const auto Found = this->Calls.find(Id);
      if (Found == this->Calls.end())
        return;
      const std::unique_ptr<Running> Last = this->take(*Found->second);
      if (Last->Tell.Failed)
        Last->Tell.Failed(Failure);
    });
  }

  /// Ends a call that has its whole answer.
  /// @param Call the call; h2o is done with it.
  void finish(Running &Call) {
    const std::unique_ptr<Running> Last = this->take(Call);
    if (!Last->Cancelled && Last->Tell.Finished)
      Last->Tell.Finished(std::move(Last->Response));
  }

  /// The connection is made, or could not be.
  static h2o_http1client_head_cb onConnect(h2o_http1client_t *Raw,
                                           const char *Failure,
                                           h2o_iovec_t **Parts,
                                           size_t *PartCount, int *IsHead) {
    auto &Call = *static_cast<Running *>(Raw->data);
    if (Failure != nullptr) {
      Call.Owner->fail(Call, Failure);
      return nullptr;
    }
    Call.Connected = true;
    Call.Owner->Events.cancel(Call.ConnectTimer);
    Call.Parts[0] = toVector(Call.Head);
    Call.Parts[1] = toVector(Call.Call.Body);
    *Parts = Call.Parts;
    *PartCount = Call.Call.Body.empty() ? 1 : 2;
    *IsHead = Call.Call.Method == "HEAD" ? 1 : 0;
    return State::onHead;
  }

  /// The head of the answer arrived.
  static h2o_http1client_body_cb onHead(h2o_http1client_t *Raw,
                                        const char *Failure, int, int Status,
                                        h2o_iovec_t,
                                        struct st_h2o_header_t *Headers,
                                        size_t HeaderCount, int) {
    auto &Call = *static_cast<Running *>(Raw->data);
    const bool AtEnd = Failure == h2o_http1client_error_is_eos;
    if (Failure != nullptr && !AtEnd) {
      Call.Owner->fail(Call, Failure);
      return nullptr;
    }
    Call.Response.Status = Status;
    Call.Response.ContentType.clear();
    for (size_t Index = 0; Index < HeaderCount; ++Index) {
      const h2o_header_t &Header = Headers[Index];
      Call.Response.Headers.push_back(
          HttpHeader{std::string(toView(*Header.name)),
                     std::string(toView(Header.value))});
    }
    Call.Response.ContentType =
        findHeader(Call.Response.Headers, "content-type");
    Call.Response.Framed = isFramed(Call.Response);
    Call.InCallback = true;
    if (Call.Tell.Head)
      Call.Tell.Head(Call.Response);
    Call.InCallback = false;
    if (AtEnd) {
      Call.Owner->finish(Call);
      return nullptr;
    }
    if (Call.Cancelled) {
      Call.Owner->take(Call);
      return nullptr;
    }
    return State::onBody;
  }

  /// A part of the body arrived.
  static int onBody(h2o_http1client_t *Raw, const char *Failure) {
    auto &Call = *static_cast<Running *>(Raw->data);
    const bool AtEnd = Failure == h2o_http1client_error_is_eos;
    if (Failure != nullptr && !AtEnd) {
      Call.Owner->fail(Call, Failure);
      return -1;
    }
    h2o_buffer_t *&Input = Raw->sock->input;
    const std::string_view Part(Input->bytes, Input->size);
    Call.InCallback = true;
    if (Call.Tell.Chunk && !Part.empty())
      Call.Tell.Chunk(Part);
    else
      Call.Response.Body += Part;
    Call.InCallback = false;
    h2o_buffer_consume(&Input, Input->size);
    if (AtEnd) {
      Call.Owner->finish(Call);
      return 0;
    }
    if (Call.Cancelled) {
      Call.Owner->take(Call);
      return -1;
    }
    return 0;
  }

  /// The call's time is over.
  /// @param Id the call.
  void onTimeout(uint64_t Id) {
    const auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end())
      return;
    Running &Call = *Found->second;
    const bool NotSent = !Call.Connected;
    if (Call.Raw != nullptr)
      h2o_http1client_cancel(Call.Raw);
    const std::unique_ptr<Running> Last = this->take(Call);
    if (Last->Tell.Failed)
      Last->Tell.Failed(HttpFailure{callError(Last->Call, "timeout"), NotSent});
  }
};

HttpClient::HttpClient(Loop &Events) : Inner(std::make_unique<State>(Events)) {
  State &Self = *this->Inner;
  h2o_multithread_register_receiver(Events.queue(), &Self.Resolver,
                                    h2o_hostinfo_getaddr_receiver);
  h2o_timeout_init(Events.raw(), &Self.IoTimeout, IoTimeoutMs);
  Self.Context.loop = Events.raw();
  Self.Context.getaddr_receiver = &Self.Resolver;
  Self.Context.io_timeout = &Self.IoTimeout;
}

HttpClient::~HttpClient() {
  for (const auto &[Id, Call] : this->Inner->Calls) {
    this->Inner->Events.cancel(Call->Timer);
    this->Inner->Events.cancel(Call->ConnectTimer);
    if (Call->Raw != nullptr)
      h2o_http1client_cancel(Call->Raw);
  }
  this->Inner->Calls.clear();
  // Deferred failures and h2o's timeouts still point at the state; a client
  // lives as long as its process.
  (void)this->Inner.release();
}

HttpCallId HttpClient::start(HttpCall Call, HttpEvents Events) {
  State &Self = *this->Inner;
  auto Made = std::make_unique<State::Running>();
  State::Running &New = *Made;
  New.Owner = &Self;
  New.Id = ++Self.LastCall;
  New.Call = std::move(Call);
  New.Tell = std::move(Events);
  New.Head = requestHead(New.Call);
  Self.Calls.emplace(New.Id, std::move(Made));
  const uint64_t Id = New.Id;
  if (New.Call.Timeout > Millis{0})
    New.Timer = Self.Events.callAfter(New.Call.Timeout,
                                      [&Self, Id] { Self.onTimeout(Id); });
  if (New.Call.ConnectTimeout > Millis{0})
    New.ConnectTimer = Self.Events.callAfter(
        New.Call.ConnectTimeout, [&Self, Id] { Self.onTimeout(Id); });
  if (isSendable(New.Call))
    Self.connect(New);
  else
    Self.fail(New, "the head holds an end of line");
  return HttpCallId{Id};
}

void HttpClient::cancel(HttpCallId Call) {
  const auto Found = this->Inner->Calls.find(Call.Value);
  if (Found == this->Inner->Calls.end())
    return;
  State::Running &Running = *Found->second;
  if (Running.InCallback) {
    Running.Cancelled = true;
    return;
  }
  if (Running.Raw != nullptr)
    h2o_http1client_cancel(Running.Raw);
  this->Inner->take(Running);
}

} // namespace camphornotch
