/// @file
/// Checks whether a process accepts connections.

#include "net/connect_check_func.h"

#include "net/h2o_internal.h"
#include "net/listen_internal.h"

#include <memory>
#include <utility>

namespace camphornotch {

namespace {

/// A check under way; its socket and timer refer to it.
struct ConnectCheck {
  Loop &Events;
  std::function<void(bool)> Done;
  h2o_socket_t *Socket = nullptr;
  TimerId Timer;

  /// Ends the check and deletes it.
  void finish(bool Accepted) {
    const std::unique_ptr<ConnectCheck> Ended(this);
    this->Events.cancel(this->Timer);
    if (this->Socket != nullptr)
      h2o_socket_close(this->Socket);
    this->Done(Accepted);
  }

  /// @param Failure null if the connection is established.
  static void onConnect(h2o_socket_t *Socket, const char *Failure) {
    static_cast<ConnectCheck *>(Socket->data)->finish(Failure == nullptr);
  }
};

} // namespace

void checkConnect(Loop &Events, const HttpTarget &Target, Millis Timeout,
                  std::function<void(bool)> Done) {
  auto Check = std::make_unique<ConnectCheck>(
      ConnectCheck{Events, std::move(Done), nullptr, {}});
  sockaddr_in Address = socketAddress(Target);
  Check->Socket = h2o_socket_connect(Events.h2oLoop(),
                                     reinterpret_cast<sockaddr *>(&Address),
                                     sizeof(Address), ConnectCheck::onConnect);
  ConnectCheck *Raw = Check.release();
  if (Raw->Socket == nullptr) {
    Events.defer([Raw] { Raw->finish(false); });
    return;
  }
  Raw->Socket->data = Raw;
  Raw->Timer = Events.callAfter(Timeout, [Raw] { Raw->finish(false); });
}

} // namespace camphornotch
