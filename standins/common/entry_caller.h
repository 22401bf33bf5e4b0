/// @file
/// Sends calls to random ready entries, as the platform's load balancer does.

#ifndef CAMPHORNOTCH_STANDINS_COMMON_ENTRY_CALLER_H
#define CAMPHORNOTCH_STANDINS_COMMON_ENTRY_CALLER_H

#include "net/http_client_base.h"

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace camphornotch::standin {

/// The result of one call.
struct CallResult {
  /// The HTTP status; 0 if the call failed or its answer was cut off.
  int Status = 0;
  std::string Body;
  /// Whether the request was certainly never sent.
  bool NotSent = false;
};

/// The fields of a refusal.
struct ParsedRefusal {
  /// The reason's name; empty if there is none.
  std::string Reason;
  /// Whether the work has not run and will not run.
  bool NotRun = false;
  /// Delay after which a retry may succeed.
  Millis RetryAfter{100};
};

/// @return the fields of the refusal in a response body.
ParsedRefusal parseRefusal(std::string_view Body);

/// Sends each call to a random entry among those that report ready, as the
/// platform's load balancer does.
class EntryCaller {
public:
  /// Called with the result of a call.
  using Handler = std::function<void(const CallResult &)>;

  /// @param Targets the entries as "ip:port", separated by commas; the process
  /// exits if they cannot be parsed.
  /// @param Caller the value of the header X-Caller of all calls.
  /// @param Seed seed for the choice of entries.
  EntryCaller(Loop &Events, HttpClient &Http, std::string_view Targets,
              std::string_view Caller, uint64_t Seed);

  /// Sends a call to an entry.
  /// @param Call the call; its target is set here.
  void send(HttpCall Call, const Handler &OnResult);

  /// @param Timeout limit for the complete call.
  /// @return a POST request for send().
  static HttpCall post(std::string_view Path, const nlohmann::json &Body,
                       Millis Timeout);

private:
  struct Entry {
    HttpTarget Target;
    /// Whether its last probe reported ready; true before the first one.
    bool Ready = true;
  };

  /// Probes whether an entry is ready, and again after each result.
  void probe(size_t Index);
  void onProbed(size_t Index, bool Ready);
  /// @return a random ready entry, or any random entry if none is ready.
  const HttpTarget &choose();

  Loop &Events;
  HttpClient &Http;
  std::vector<Entry> Entries;
  /// Value of the header X-Caller.
  std::string Caller;
  std::mt19937_64 Random;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_COMMON_ENTRY_CALLER_H
