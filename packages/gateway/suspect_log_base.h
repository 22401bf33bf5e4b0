/// @file
/// Keeps what is known of requests that break endpoints in the store.

#ifndef CAMPHORNOTCH_GATEWAY_SUSPECT_LOG_BASE_H
#define CAMPHORNOTCH_GATEWAY_SUSPECT_LOG_BASE_H

#include "camphornotch_types.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <map>
#include <set>

namespace camphornotch {

/// Appends and follows records of such requests in a topic of the store. They
/// outlast the end of all processes at once, and reach processes that have no
/// link to each other.
class SuspectLog {
public:
  /// @param OnRead takes each state that is read, the own ones too.
  SuspectLog(Loop &Events, platform::StoreClient &Store,
             std::function<void(const wire::SuspectState &)> OnRead);

  /// Starts to read, from the oldest record.
  void begin();

  /// Appends a state, unless a later one of the request replaces it before.
  /// Repeated until the store has acknowledged it.
  void append(const wire::SuspectState &State);

  /// @return whether a record of the request was read or is to be appended.
  bool has(int64_t Digest) const { return this->Recorded.contains(Digest); }

private:
  /// Reads on, waiting for the next record.
  void read();
  void onRead(const StoreResult<ReadPage> &Page);
  /// Appends the waiting states unless an append is under way.
  void flush();

  Loop &Events;
  platform::StoreClient &Store;
  std::function<void(const wire::SuspectState &)> OnRead;
  /// States to append, by request.
  std::map<int64_t, wire::SuspectRecord> Waiting;
  /// Whether an append is under way, or a repetition of one.
  bool Appending = false;
  int64_t NextOffset = 0;
  /// Whether the topic was read to its end once.
  bool CaughtUp = false;
  /// Requests with records.
  std::set<int64_t> Recorded;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_SUSPECT_LOG_BASE_H
