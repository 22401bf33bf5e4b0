/// @file
/// HTTP stand-in of the platform's partitioned store, with injected faults.

#ifndef CAMPHORNOTCH_STANDINS_STORE_STORE_SERVER_H
#define CAMPHORNOTCH_STANDINS_STORE_STORE_SERVER_H

#include "net/http_server_base.h"
#include "standins/store/store_state.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphornotch::standin {

/// How the store handles appends.
enum class AppendFault : uint8_t {
  None,       ///< Executes and answers them.
  LoseAnswer, ///< Executes them and never answers.
  LoseCall,   ///< Does nothing and never answers.
  Late,       ///< Executes them after LateBy and never answers.
  Refuse,     ///< Answers 503.
  Slow,       ///< Executes them and answers after LateBy.
};

/// Serves a StandinStoreState over HTTP; tests set the faults as members.
class StandinStoreServer {
public:
  /// @param Partitions number of partitions of each topic.
  StandinStoreServer(Loop &Events, int64_t Partitions);

  /// @return the address it listens on.
  HttpTarget target() const {
    return HttpTarget{"127.0.0.1", this->Server->port()};
  }

  /// @return the state, for the test's own writes.
  StandinStoreState &state() { return this->State; }

  /// Writes a record of a keyed topic and answers the reads waiting for it.
  /// @param Value the value; an empty one deletes the key.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

  /// The fault applied to appends.
  AppendFault Fault = AppendFault::None;
  /// Delay before a Late append is executed or a Slow one answered.
  Millis LateBy{150};
  /// Whether reads of partitions are left unanswered.
  bool ReadsSilent = false;
  /// Whether all calls are left unanswered.
  bool Silent = false;
  /// Whether all calls get 503.
  bool Busy = false;
  /// Whether all reads of records get 503.
  bool RefusesReads = false;
  /// How many reads got 503 because of Busy or RefusesReads.
  int64_t ReadsRefused = 0;
  /// Bytes per second shared by all reads; 0: no limit. A read that its caller
  /// has abandoned still uses its share.
  int64_t ReadBytesPerSecond = 0;
  /// How many reads of each topic were received.
  std::map<std::string, int64_t> ReadsByTopic;
  /// Most records of a page of the newest ones.
  size_t NewestPageRecords = 500;
  /// How many pages of newest records were asked for.
  int64_t NewestReads = 0;
  /// Whether bytes of keys that are no UTF-8 are sent as 0xff and not replaced.
  bool SendsRawKeys = false;
  /// Keys after which a page gets RefusedCursorStatus; 0: it is not answered.
  std::set<std::string> RefusedCursors;
  int RefusedCursorStatus = 400;
  /// Whether the first page gets RefusedCursorStatus as well.
  bool RefusesFirstPage = false;
  /// Keys after which the first page comes again.
  std::set<std::string> LostCursors;
  /// A read that would wait longer than this for bandwidth gets 503.
  Millis ReadQueueMost{2'000};

private:
  /// A read that waits for a record to be appended.
  struct PendingRead {
    std::shared_ptr<HttpExchange> Exchange;
    std::string Topic;
    int64_t Part = 0;
    /// The first requested offset.
    int64_t FirstOffset = 0;
    /// Limit on the bytes of records; the first record is sent in any case.
    size_t MaxBytes = 0;
    bool Answered = false;
  };

  void handle(const std::shared_ptr<HttpExchange> &Exchange);
  void onAppend(const std::shared_ptr<HttpExchange> &Exchange);
  void onRead(const std::shared_ptr<HttpExchange> &Exchange);
  void onNewest(const std::shared_ptr<HttpExchange> &Exchange);
  /// Handles a join or a leave of the group.
  void onMember(const std::shared_ptr<HttpExchange> &Exchange, bool Joins);
  void onOwners(const std::shared_ptr<HttpExchange> &Exchange);
  /// Answers the waiting reads whose records have been appended.
  void answerReadyReads();
  void answerRead(PendingRead &Read);
  /// Sends the answer of a read within ReadBytesPerSecond, after the reads
  /// before it.
  void sendThrottled(const std::shared_ptr<HttpExchange> &Exchange,
                     const std::string &Body);

  Loop &Events;
  StandinStoreState State;
  std::vector<std::shared_ptr<PendingRead>> Reads;
  /// When the bandwidth is free for the next read.
  Millis ReadsBusyUntil{0};
  /// Calls that are never answered, kept to hold their connections open.
  std::vector<std::shared_ptr<HttpExchange>> HeldCalls;
  std::unique_ptr<HttpServer> Server;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_STORE_STORE_SERVER_H
