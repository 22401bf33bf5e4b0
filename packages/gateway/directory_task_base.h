/// @file
/// Updates the pool of endpoints as they register and leave.

#ifndef CAMPHORNOTCH_GATEWAY_DIRECTORY_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_DIRECTORY_TASK_BASE_H

#include "core/gateway/endpoint_pool_base.h"
#include "gateway/keyed_follower_base.h"

#include <functional>
#include <map>
#include <string>

namespace camphornotch {

/// Follows the topic of the endpoint registry. After the store was unreachable,
/// a removed entry stays in use for a while, since live endpoints register
/// again then.
class DirectoryTask {
public:
  /// @param OnChanged called after each change of the pool.
  DirectoryTask(Loop &Events, platform::StoreClient &Store, EndpointPool &Pool,
                std::function<void()> OnChanged);

  void begin() { this->Follower.begin(); }

  /// @return whether all entries were read at least once.
  bool complete() const { return this->Complete; }

private:
  /// Applies an entry, or its removal.
  void onRecord(const KeyedRecord &Record);
  /// Removes the endpoints that are not in the registry.
  /// @param Keys all entries that exist.
  void onComplete(const std::set<std::string> &Keys);
  /// Removes an endpoint whose entry is gone, now or after the grace time.
  void onRemoved(const std::string &Key);
  /// Removes an endpoint from the pool.
  void remove(const std::string &Key);

  Loop &Events;
  EndpointPool &Pool;
  std::function<void()> OnChanged;
  /// Timers of endpoints that will be removed after the grace time, by entry.
  std::map<std::string, TimerId> RemovalTimers;
  /// When the store last answered again after a failure.
  Millis AvailableSince{0};
  bool Available = false;
  bool Complete = false;
  KeyedFollower Follower;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_DIRECTORY_TASK_BASE_H
