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

/// Spreads calls over the entries at random.
class EntryCaller {
public:
  /// Takes the result of a call.
  using Handler = std::function<void(const CallResult &)>;

  /// @param Http sends the calls.
  /// @param Targets the entries, as "ip:port" with commas between.
  /// @param Caller the name that calls carry.
  /// @param Seed seeds the choice of entries.
  EntryCaller(HttpClient &Http, std::string_view Targets,
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
  /// Sends the calls.
  HttpClient &Http;
  /// The entries.
  std::vector<HttpTarget> Entries;
  /// The name that calls carry.
  std::string Caller;
  /// Chooses entries.
  std::mt19937_64 Random;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_COMMON_ENTRY_CALLER_H
