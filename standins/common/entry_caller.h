/// @file
/// Calls any of the entries, as behind the platform's balancer.

#ifndef CAMPHORNOTCH_STANDINS_COMMON_ENTRY_CALLER_H
#define CAMPHORNOTCH_STANDINS_COMMON_ENTRY_CALLER_H

#include "net/http_client_base.h"

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace camphornotch::standin {

/// What came back of one call.
struct CallResult {
  /// The HTTP status; 0 if the call failed or its answer was cut.
  int Status = 0;
  /// The body.
  std::string Body;
  /// Whether the request was surely never sent.
  bool NotSent = false;
};

/// What a refusal says.
struct ParsedRefusal {
  /// The reason's name; empty if there is none.
  std::string Reason;
  /// Whether the work never ran and will not.
  bool NotRun = false;
  /// After how long a retry may succeed.
  Millis RetryAfter{100};
};

/// @param Body a refusal's body.
/// @return what it says.
ParsedRefusal parseRefusal(std::string_view Body);

/// Spreads calls at random over the entries that say they are ready, as the
/// platform's balancer does.
class EntryCaller {
public:
  /// Takes the result of a call.
  using Handler = std::function<void(const CallResult &)>;

  /// @param Events the loop to run on.
  /// @param Http sends the calls.
  /// @param Targets the entries, as "ip:port" with commas between.
  /// @param Caller the name that calls carry.
  /// @param Seed seeds the choice of entries.
  EntryCaller(Loop &Events, HttpClient &Http, std::string_view Targets,
              std::string_view Caller, uint64_t Seed);

  /// Sends a call to an entry.
  /// @param Call the call without target.
  /// @param Tell takes the result.
  void send(HttpCall Call, const Handler &Tell);

  /// @param Path the path.
  /// @param Body the JSON body.
  /// @param Timeout time for the whole call.
  /// @return a POST that is not sent yet.
  static HttpCall post(std::string_view Path, const nlohmann::json &Body,
                       Millis Timeout);

private:
  /// One entry.
  struct Entry {
    /// Where it is.
    HttpTarget Target;
    /// Whether it said that it is ready when asked last.
    bool Ready = true;
  };

  /// Asks an entry whether it is ready, again and again.
  /// @param Index the entry.
  void probe(size_t Index);
  /// @param Index the entry.
  /// @param Ready whether it is ready.
  void onProbed(size_t Index, bool Ready);
  /// @return an entry that is ready, or any if none is.
  const HttpTarget &choose();

  /// The loop.
  Loop &Events;
  /// Sends the calls.
  HttpClient &Http;
  /// The entries.
  std::vector<Entry> Entries;
  /// The name that calls carry.
  std::string Caller;
  /// Chooses entries.
  std::mt19937_64 Random;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_COMMON_ENTRY_CALLER_H
