/// @file
/// Builds the call that runs an item at an engine.

#include "gateway/item_request_func.h"

#include "platform/engine_func.h"

namespace camphornotch {

namespace {

/// Timeout for connecting to an engine; the slowest link takes 24 ms.
constexpr Millis ConnectTimeout{300};

} // namespace

HttpCall itemRequest(const SubmissionState &State,
                     const wire::BatchItemField &Item,
                     const EndpointRecord &Engine, size_t EventsHad) {
  platform::EngineRequest Request;
  Request.ListenAddress = Engine.ListenAddress;
  Request.Instance = Engine.Id;
  Request.Path = Item.Path;
  Request.Host = State.Record.Host;
  for (const wire::HeaderField &Header : Item.Headers)
    Request.Headers.push_back(HttpHeader{Header.Name, Header.Value});
  Request.Body = Item.Body;
  Request.HasAccounts = State.Record.__isset.Account;
  Request.Account = State.Record.Account;
  Request.RequestId = Item.Id;
  Request.ReceivedEvents = static_cast<int64_t>(EventsHad);
  HttpCall Call = platform::encodeEngineRequest(Request);
  Call.ConnectTimeout = ConnectTimeout;
  return Call;
}

} // namespace camphornotch
