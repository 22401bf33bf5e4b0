/// @file
/// A server's connection under the limits of the process.

#ifndef CAMPHORNOTCH_NET_LIMITED_CONNECTION_INTERNAL_H
#define CAMPHORNOTCH_NET_LIMITED_CONNECTION_INTERNAL_H

#include "net/client_limits_base.h"
#include "net/h2o_internal.h"

#include <memory>
#include <string>

namespace camphornotch {

/// What is sent before a connection is closed whose request is incomplete.
struct LimitRefusals {
  /// Memory is short.
  std::string Incomplete;
  /// The request arrives too slowly.
  std::string Slow;
};

/// Reads in place of h2o: a bounded part in each turn of the loop, which counts
/// before h2o sees it.
class LimitedConnection {
public:
  /// Asks the limits for the connection.
  /// @param Refusals must outlive the connection.
  /// @return null if it is not admitted.
  static std::unique_ptr<LimitedConnection>
  admit(h2o_socket_t *Socket, ClientPort Port,
        std::shared_ptr<ClientLimits> Limits, const LimitRefusals &Refusals);
  ~LimitedConnection();
  LimitedConnection(const LimitedConnection &) = delete;
  LimitedConnection &operator=(const LimitedConnection &) = delete;

  /// Takes over the reads from h2o, which must have been given the connection.
  /// To be called again after each request, when h2o has set its callback anew.
  /// @return whether h2o reads, or will not before a request ends.
  bool takeReads();

  /// A request was read completely.
  /// @param BodyBytes bytes of its body that the connection no longer holds.
  void requestBegan(int64_t BodyBytes);

  /// A request was answered or given up.
  void requestEnded();

  ConnectionId id() const { return this->Id; }

private:
  LimitedConnection(h2o_socket_t *Socket, std::shared_ptr<ClientLimits> Limits,
                    const LimitRefusals &Refusals);

  /// In place of h2o's callback.
  static void onReadable(h2o_socket_t *Socket, const char *Failure);
  /// @param Count set to the bytes read.
  /// @return null, or why the connection ends.
  static const char *readSome(h2o_socket_t *Socket, int64_t &Count);
  void end(LimitReason Reason);
  bool isMultiplexed() const { return this->Handler != this->FirstHandler; }
  /// @return the bytes held of requests that are not complete.
  int64_t inputBytes() const;

  h2o_socket_t *Socket;
  std::shared_ptr<ClientLimits> Limits;
  const LimitRefusals &Refusals;
  ConnectionId Id;
  /// h2o's callback for reads.
  h2o_socket_cb Handler = nullptr;
  /// The one of HTTP/1.1.
  h2o_socket_cb FirstHandler = nullptr;
  /// Bytes read on a multiplexed connection, without complete bodies.
  int64_t MultiplexedBytes = 0;
  int OpenRequests = 0;
  /// Whether h2o is to be told that the connection is closed.
  bool IsEnded = false;
};

/// Moves a request's body out of h2o's buffer, piece by piece, so that it is
/// held once. The pages of a large one are given back.
/// @param Body bytes that h2o does not read again.
std::string moveBody(const h2o_iovec_t &Body);

/// Sizes of a socket's kernel buffers under the limits: the kernel holds more
/// for a connection than the process does otherwise.
void limitKernelBuffers(int Fd);

/// The same for a connection to an endpoint, whose input is held several times
/// for a moment.
void limitEndpointBuffers(int Fd);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LIMITED_CONNECTION_INTERNAL_H
