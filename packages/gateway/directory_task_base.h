/// @file
/// Keeps the pool of endpoints as they register and leave.

#ifndef CAMPHORNOTCH_GATEWAY_DIRECTORY_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_DIRECTORY_TASK_BASE_H

#include "core/gateway/endpoint_pool_base.h"
#include "gateway/keyed_follower_base.h"

#include <functional>
#include <map>
#include <string>

namespace camphornotch {

/// Follows the endpoints' topic. An entry that goes while the store was away
/// stays in use for a while after its return, since live endpoints register
/// again then.
class DirectoryTask {
public:
  /// @param Events the loop.
  /// @param Store the store.
  /// @param Pool takes the endpoints.
  /// @param Changed called after each change.
  DirectoryTask(Loop &Events, platform::StoreClient &Store, EndpointPool &Pool,
                std::function<void()> Changed);

  /// Starts to read.
  void begin() { this->Follower.begin(); }

  /// @return whether all endpoints were read at least once.
  bool complete() const { return this->Complete; }

private:
  /// @param Record an endpoint's entry, or its end.
  void onRecord(const KeyedRecord &Record);
  /// @param Keys all entries that exist.
  void onComplete(const std::set<std::string> &Keys);
  /// @param Key an entry that is gone.
  void onGone(const std::string &Key);
  /// Forgets an endpoint.
  /// @param Key its entry.
  void forget(const std::string &Key);

  /// The loop.
  Loop &Events;
  /// The endpoints.
  EndpointPool &Pool;
  /// Called after each change.
  std::function<void()> Changed;
  /// Entries that are gone and will be forgotten.
  std::map<std::string, TimerId> Leaving;
  /// When the store answered again after it had not.
  Millis BackAt{0};
  /// Whether the store answers.
  bool Answers = false;
  /// Whether all endpoints were read.
  bool Complete = false;
  /// Reads the topic.
  KeyedFollower Follower;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_DIRECTORY_TASK_BASE_H
