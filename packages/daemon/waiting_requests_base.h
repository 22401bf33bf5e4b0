/// @file
/// Requests that wait for the answer of a controller, by handle.

#ifndef CAMPHORNOTCH_DAEMON_WAITING_REQUESTS_BASE_H
#define CAMPHORNOTCH_DAEMON_WAITING_REQUESTS_BASE_H

#include "core/samples/sample_type.h"
#include "daemon/caller_exchange_base.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace camphornotch {

/// Keeps exchanges until a controller answers them by their handle.
class WaitingRequests {
public:
  /// Told the handle of a request whose caller went away.
  using Gone = std::function<void(RequestHandle)>;

  /// Keeps a request.
  /// @param Exchange the request.
  /// @param Tell told if its caller goes away.
  /// @return its handle.
  RequestHandle keep(const std::shared_ptr<CallerExchange> &Exchange,
                     Gone Tell) {
    const RequestHandle Handle{++this->Last};
    this->Waiting.emplace(Handle.Value, Exchange);
    Exchange->onGone([this, Handle, Tell = std::move(Tell)] {
      if (this->take(Handle) != nullptr)
        Tell(Handle);
    });
    return Handle;
  }

  /// @param Handle a handle.
  /// @return its request, which is kept no longer; null if it went away.
  std::shared_ptr<CallerExchange> take(RequestHandle Handle) {
    auto Node = this->Waiting.extract(Handle.Value);
    return Node.empty() ? nullptr : Node.mapped();
  }

  /// @return requests that wait.
  size_t size() const { return this->Waiting.size(); }

private:
  /// The last handle given out.
  int64_t Last = 0;
  /// The requests that wait.
  std::unordered_map<int64_t, std::shared_ptr<CallerExchange>> Waiting;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_WAITING_REQUESTS_BASE_H
