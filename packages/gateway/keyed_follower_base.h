/// @file
/// Follows a keyed topic of the store: the newest record of each key, then each
/// new record.

#ifndef CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H
#define CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H

#include "core/store/keyed_pass_base.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphornotch {

/// Callbacks of a KeyedFollower.
struct KeyedFollowerCallbacks {
  /// A record was read: newer than the last one of its key, or the same again.
  std::function<void(const KeyedRecord &)> OnRecord;
  /// The newest records were read, or as many of them as can be; takes the keys
  /// that may exist.
  std::function<void(const std::set<std::string> &)> OnComplete;
  /// The store stopped answering.
  std::function<void(const Error &)> OnLost;
  /// The store answers for the first time or again.
  std::function<void()> OnAvailable;
  /// A pass ended before the newest records of all keys were read. Optional.
  std::function<void()> OnIncomplete;
};

/// @param What the contents of the topic, for log lines.
/// @return callbacks that log when the store stops answering and when it
/// answers again.
KeyedFollowerCallbacks
loggingCallbacks(const std::string &What,
                 std::function<void(const KeyedRecord &)> OnRecord,
                 std::function<void()> OnIncomplete = {});

/// Follows one topic from begin() until the process ends: a pass over the
/// newest records, then each new record. Where a page of the pass leads no
/// further, new records are followed beside it, and the pass is repeated later.
class KeyedFollower {
public:
  KeyedFollower(Loop &Events, platform::StoreClient &Store, std::string Topic,
                KeyedFollowerCallbacks Callbacks);

  void begin();

  /// @return whether the store answered the last read, and lately, so that a
  ///   new record would be known.
  bool available(Millis Now) const;

private:
  /// The newest record of a key.
  struct NewestRecord {
    int64_t Offset = 0;
    bool Removed = false;
  };

  /// Starts a pass over the newest records.
  void beginPass();
  /// Reads a page of newest records.
  /// @param AfterKey the key after which it begins; absent: the first page.
  void readNewest(const std::optional<std::string> &AfterKey);
  void onNewestPage(const KeyedPage &Page);
  void onNewestFailed(const StoreFailure &Failure);
  /// @param Cause why the page before was not the one that was expected.
  void continuePass(const PassStep &Step, std::string_view Cause);
  void onPassEnd(const PassEnd &End);
  /// Repeats the pass after a pause that grows.
  void repeatPassLater();
  /// Follows new records, beginning with recent ones, while keys may be
  /// missing.
  void followBesidePass();
  /// Starts to follow new records, unless they are followed.
  /// @param Offset the first offset to read.
  void follow(int64_t Offset);
  /// Goes on at an offset; the records before it are not read.
  void skipTo(int64_t Offset);
  /// Reads the next records; long-polls the store once all were read.
  void readNextRecords();
  void readNextRecordsLater();
  /// @return the records that can be decoded; those of the page count as read.
  std::vector<KeyedRecord> decodeRecords(const ReadPage &Page);
  void onRecords(const ReadPage &Page);
  void onRecordsFailed(const StoreFailure &Failure);
  /// The next record is no longer retained.
  void onExpired(const StoreFailure &Failure);
  /// Passes a record on, unless a newer one of its key was read.
  void onRecord(const KeyedRecord &Record);
  /// Reports the keys that exist.
  void reportKeys();
  void onStoreAnswered();
  void onStoreLost(const Error &Cause);

  Loop &Events;
  platform::StoreClient &Store;
  std::string Topic;
  KeyedFollowerCallbacks Callbacks;
  /// The pass over the newest records that runs, otherwise the last one.
  KeyedPass Pass;
  bool PassRuns = false;
  /// Whether the last pass read the newest records of all keys.
  bool NewestRead = false;
  /// The next pass, if the last one ended incomplete.
  std::optional<TimerId> NextPass;
  Millis NextPassPause;
  /// Newest record of each key that was read. Removed ones are kept while a
  /// pass runs, as a page may be older than the removal.
  std::map<std::string, NewestRecord> Newest;
  /// Whether new records are followed.
  bool Following = false;
  /// Whether all records were read since they are followed.
  bool CaughtUp = false;
  /// Offset of the next record to read.
  int64_t NextOffset = 0;
  /// Offset from which on each record was read.
  int64_t FollowedFrom = 0;
  /// Whether no record was read since the history last expired.
  bool ExpiredAgain = false;
  /// Whether the last read was answered.
  bool Available = false;
  /// When the last answer of the store arrived.
  Millis AnsweredAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_KEYED_FOLLOWER_BASE_H
