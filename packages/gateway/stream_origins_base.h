/// @file
/// Which software began the streams of callers, shared by all gateways.

#ifndef CAMPHORNOTCH_GATEWAY_STREAM_ORIGINS_BASE_H
#define CAMPHORNOTCH_GATEWAY_STREAM_ORIGINS_BASE_H

#include "camphornotch_types.h"
#include "core/store/store_type.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphornotch {

/// The endpoints that can go on with a stream.
struct StreamOrigin {
  std::string Service;
  /// Version of their software.
  std::string Software;
};

/// Appends the origin of each resumable stream to a topic of the store, and
/// reads the topic when a caller takes up a stream that this process does not
/// know. Nothing is read otherwise.
class StreamOrigins {
public:
  /// Called with the origin, or null if it is not known. The pointer is valid
  /// during the call.
  using FindCallback = std::function<void(const StreamOrigin *)>;

  /// @param Host chooses the partition of the own records.
  /// @param Partitions number of partitions; must be equal on all gateways.
  StreamOrigins(Loop &Events, platform::StoreClient &Store,
                std::string_view Host, int64_t Partitions);

  /// Notes where a stream began.
  /// @param RequestId the request that brought its first event.
  void add(const std::string &RequestId, StreamOrigin Origin);

  /// Looks a stream up, for a short time also in the store: the record of a
  /// young stream may be on its way.
  /// @param RequestId the request that brought its first event.
  void find(const std::string &RequestId, FindCallback Found);

private:
  struct KnownOrigin {
    StreamOrigin Origin;
    Millis AddedAt;
  };

  /// A call of find() that waits for the store.
  struct Lookup {
    std::string RequestId;
    FindCallback Found;
    Millis Deadline;
  };

  /// Remembers an origin, and forgets old ones.
  void remember(const std::string &RequestId, StreamOrigin Origin);
  /// Appends the waiting records unless an append is under way.
  void flush();
  void onAppended(std::vector<std::string> Sent,
                  const StoreResult<int64_t> &Offset);
  /// Reads all partitions to their ends, then answers lookups.
  void beginReading();
  void read(int64_t Partition);
  void onRead(int64_t Partition, const StoreResult<ReadPage> &Page);
  void partitionRead();
  /// Answers the lookups that are found or out of time.
  void answerLookups();

  Loop &Events;
  platform::StoreClient &Store;
  /// The partition of the own records.
  int64_t OwnPartition;
  /// Origins by the request that brought the first event.
  std::map<std::string, KnownOrigin> Known;
  /// Their keys, the oldest first.
  std::deque<std::string> Order;
  /// Records to append.
  std::vector<std::string> Waiting;
  bool Appending = false;
  /// Next offset to read by partition.
  std::vector<int64_t> NextOffsets;
  /// Partitions that are being read; 0: none.
  size_t Reading = 0;
  std::vector<Lookup> Lookups;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_STREAM_ORIGINS_BASE_H
