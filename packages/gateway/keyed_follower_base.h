/// @file
/// Follows a keyed topic of the store: the newest record of each key, then each
/// new record.

#ifndef CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H
#define CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H

#include "core/store/keyed_pass_base.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace camphornotch {

/// Callbacks of a KeyedFollower.
struct KeyedFollowerCallbacks {
  /// A record was read: newer than the last one of its key, or the same again.
  std::function<void(const KeyedRecord &)> OnRecord;
  /// The newest records were read; takes the keys that exist.
  std::function<void(const std::set<std::string> &)> OnComplete;
  /// The store stopped answering.
  std::function<void(const Error &)> OnLost;
  /// The store answers for the first time or again.
  std::function<void()> OnAvailable;
};

/// @param What the contents of the topic, for log lines.
/// @return callbacks that log when the store stops answering and when it
/// answers again.
KeyedFollowerCallbacks
loggingCallbacks(const std::string &What,
                 std::function<void(const KeyedRecord &)> OnRecord);

/// Follows one topic from begin() until the process ends.
class KeyedFollower {
public:
  KeyedFollower(Loop &Events, platform::StoreClient &Store, std::string Topic,
                KeyedFollowerCallbacks Callbacks);

  void begin();

  /// @return whether the store answered the last read, and lately, so that a
  ///   new record would be known.
  bool available(Millis Now) const;

private:
  /// Starts a pass over the newest records.
  void beginPass();
  /// Reads a page of newest records.
  /// @param AfterKey the key after which it begins; absent: the first page.
  void readNewest(const std::optional<std::string> &AfterKey);
  void readNewestLater(const std::string &AfterKey);
  void onNewestPage(const KeyedPage &Page);
  void onPassEnd(const PassEnd &End);
  /// Long-polls the store for the next record.
  void readNextRecords();
  void onRecords(const ReadPage &Page);
  void onReadFailed(const StoreFailure &Failure);
  void onReadAnswered();

  Loop &Events;
  platform::StoreClient &Store;
  std::string Topic;
  KeyedFollowerCallbacks Callbacks;
  /// The pass over the newest records that runs, otherwise the last one.
  KeyedPass Pass;
  /// Keys that were read before the pass, and after the last one. They count as
  /// present if the pass ends incomplete.
  std::set<std::string> EarlierKeys;
  /// Offset of the next record after the newest ones; -1: not known yet.
  int64_t NextOffset = -1;
  /// Whether the newest records of all keys were read.
  bool NewestRead = false;
  /// Whether no record was read since the history last expired.
  bool ExpiredAgain = false;
  /// Whether the last read was answered.
  bool Available = false;
  /// When the last answer of the store arrived.
  Millis AnsweredAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H
