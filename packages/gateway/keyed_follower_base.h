/// @file
/// Follows a keyed topic of the store: the newest record of each key, then each
/// new record.

#ifndef CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H
#define CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H

#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <set>
#include <string>

namespace camphornotch {

/// Callbacks of a KeyedFollower.
struct KeyedFollowerEvents {
  /// A record was read: newer than the last one of its key, or the same again.
  std::function<void(const KeyedRecord &)> Record;
  /// The newest records of all keys were read; takes the keys that exist.
  std::function<void(const std::set<std::string> &)> Complete;
  /// The store stopped answering.
  std::function<void(const Error &)> Lost;
  /// The store answers for the first time or again.
  std::function<void()> Back;
};

/// @param What the contents of the topic, for log lines.
/// @return callbacks that log when the store stops answering and when it
/// answers again.
KeyedFollowerEvents
loggedFollowing(const std::string &What,
                std::function<void(const KeyedRecord &)> Record);

/// Follows one topic from begin() until the process ends.
class KeyedFollower {
public:
  KeyedFollower(Loop &Events, platform::StoreClient &Store, std::string Topic,
                KeyedFollowerEvents Tell);

  void begin();

private:
  /// Reads a page of newest records.
  /// @param After the last key of the page before; empty: the first page.
  void readNewest(const std::string &After);
  void takeNewest(const KeyedPage &Page);
  /// Long-polls the store for the next record.
  void readOn();
  void takeRecords(const ReadPage &Page);
  void failed(const StoreFailure &Failure);
  void answered();

  Loop &Events;
  platform::StoreClient &Store;
  std::string Topic;
  KeyedFollowerEvents Tell;
  /// Keys of the newest records read so far.
  std::set<std::string> Keys;
  /// Offset of the next record after the newest ones; -1: not known yet.
  int64_t Next = -1;
  /// Whether the newest records of all keys were read.
  bool Listed = false;
  /// Whether the last read was answered.
  bool Answers = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H
