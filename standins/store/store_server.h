/// @file
/// The stand-in of the platform's partitioned store, over HTTP, with faults.

#ifndef CAMPHORNOTCH_STANDINS_STORE_STORE_SERVER_H
#define CAMPHORNOTCH_STANDINS_STORE_STORE_SERVER_H

#include "net/http_server_base.h"
#include "standins/store/store_state.h"

#include <map>
#include <memory>
#include <vector>

namespace camphornotch::standin {

/// What the store does with appends.
enum class AppendFault : uint8_t {
  None,       ///< Carries them out and answers.
  LoseAnswer, ///< Carries them out and never answers.
  LoseCall,   ///< Does nothing and never answers.
  Late,       ///< Carries them out after a while and never answers.
  Refuse,     ///< Answers 503.
  Slow,       ///< Carries them out and answers after a while.
};

/// Serves the state.
class StandinStoreServer {
public:
  /// @param Events the loop.
  /// @param Partitions partitions of each topic.
  StandinStoreServer(Loop &Events, int64_t Partitions);

  /// @return where it listens.
  HttpTarget target() const {
    return HttpTarget{"127.0.0.1", this->Server->port()};
  }

  /// @return the state, for the test's own writes.
  StandinStoreState &state() { return this->State; }

  /// Writes a record of a keyed topic, and answers reads that wait for it.
  /// @param Topic the topic.
  /// @param Key the key.
  /// @param Value the value; empty drops the key.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

  /// What happens to appends.
  AppendFault Fault = AppendFault::None;
  /// How late late appends are carried out, and slow ones answered.
  Millis LateBy{150};
  /// Whether reads of partitions are not answered.
  bool ReadsSilent = false;
  /// Whether no call is answered.
  bool Silent = false;
  /// Whether all calls get 503.
  bool Busy = false;
  /// Whether all reads of records get 503.
  bool RefusesReads = false;
  /// How many reads were refused so.
  int64_t ReadsRefused = 0;
  /// Bytes of records that all reads together get in a second; 0: no limit. A
  /// read that its caller has given up takes its share all the same.
  int64_t ReadBytesPerSecond = 0;
  /// How many reads of each topic came.
  std::map<std::string, int64_t> ReadsByTopic;
  /// Time of queued reads beyond which further ones get 503.
  Millis ReadQueueMost{2'000};

private:
  /// A read that waits for a record.
  struct Waiting {
    /// The call.
    std::shared_ptr<HttpExchange> Exchange;
    /// The topic.
    std::string Topic;
    /// The partition.
    int64_t Part = 0;
    /// The first offset wanted.
    int64_t From = 0;
    /// Most bytes of records that are wanted; the first one comes in any case.
    size_t MostBytes = 0;
    /// Whether it was answered.
    bool Done = false;
  };

  /// @param Exchange a call.
  void handle(const std::shared_ptr<HttpExchange> &Exchange);
  /// @param Exchange an append.
  void onAppend(const std::shared_ptr<HttpExchange> &Exchange);
  /// @param Exchange a read.
  void onRead(const std::shared_ptr<HttpExchange> &Exchange);
  /// @param Exchange a read of the newest records.
  void onNewest(const std::shared_ptr<HttpExchange> &Exchange);
  /// @param Exchange a join or leave.
  /// @param Joins whether it joins.
  void onMember(const std::shared_ptr<HttpExchange> &Exchange, bool Joins);
  /// @param Exchange a question for the owners.
  void onOwners(const std::shared_ptr<HttpExchange> &Exchange);
  /// Answers waiting reads that have records now.
  void wakeReads();
  /// @param Read a read.
  void answerRead(Waiting &Read);
  /// Sends an answer once the reads before it had their share of bandwidth.
  /// @param Exchange the read.
  /// @param Body the answer.
  void sendInTurn(const std::shared_ptr<HttpExchange> &Exchange,
                  const std::string &Body);

  /// The loop.
  Loop &Events;
  /// The state.
  StandinStoreState State;
  /// Reads that wait.
  std::vector<std::shared_ptr<Waiting>> Reads;
  /// When the reads before the next one have had their share of bandwidth.
  Millis ReadsBusyUntil{0};
  /// Calls that are never answered, kept so that their connections stay open.
  std::vector<std::shared_ptr<HttpExchange>> Unanswered;
  /// The server.
  std::unique_ptr<HttpServer> Server;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_STORE_STORE_SERVER_H
