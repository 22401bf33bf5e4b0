/// @file
/// Follows a keyed topic of the store: its newest records, then each new one.

#ifndef CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H
#define CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H

#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <set>
#include <string>

namespace camphornotch {

/// What a follower tells.
struct KeyedFollowerEvents {
  /// A record, newer than the last one of its key or the same again.
  std::function<void(const KeyedRecord &)> Record;
  /// All newest records were read: the keys that exist.
  std::function<void(const std::set<std::string> &)> Complete;
  /// The store does not answer any more.
  std::function<void(const Error &)> Lost;
  /// The store answers again, or for the first time.
  std::function<void()> Back;
};

/// @param What names the topic's contents in log lines.
/// @param Record takes the records.
/// @return events that log when the store is lost and when it answers again.
KeyedFollowerEvents
loggedFollowing(const std::string &What,
                std::function<void(const KeyedRecord &)> Record);

/// Follows one topic from begin() until the process ends.
class KeyedFollower {
public:
  /// @param Events the loop.
  /// @param Store the store.
  /// @param Topic the topic.
  /// @param Tell what to tell.
  KeyedFollower(Loop &Events, platform::StoreClient &Store, std::string Topic,
                KeyedFollowerEvents Tell);

  /// Starts to read.
  void begin();

private:
  /// Reads a page of newest records.
  /// @param After the last key had.
  void readNewest(const std::string &After);
  /// @param Page a page of newest records.
  void takeNewest(const KeyedPage &Page);
  /// Waits for the next record.
  void readOn();
  /// @param Page records in order.
  void takeRecords(const ReadPage &Page);
  /// @param Failure why a read failed.
  void failed(const StoreFailure &Failure);
  /// Notes that the store answered.
  void answered();

  /// The loop.
  Loop &Events;
  /// The store.
  platform::StoreClient &Store;
  /// The topic.
  std::string Topic;
  /// What to tell.
  KeyedFollowerEvents Tell;
  /// The keys of the newest records read so far.
  std::set<std::string> Keys;
  /// Where to read on after the newest records; -1: not known.
  int64_t Next = -1;
  /// Whether the newest records have been read whole.
  bool Listed = false;
  /// Whether the store answered last.
  bool Answers = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H
