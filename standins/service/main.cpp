/// @file
/// Stand-in for a plain HTTP service with three calls: scores, bookings (which
/// may run only once) and status.

#include "standins/common/json_func.h"
#include "standins/common/standin_server.h"
#include "standins/common/token_text.h"

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>
#include <utility>

DEFINE_int32(port, 7400, "port on the loopback address");
DEFINE_string(name, "service", "name");
DEFINE_int32(delay_ms, 2, "time of one call");

namespace camphornotch::standin {

/// The service and its record of the calls that it executed.
class PlainService {
public:
  PlainService(Loop &Events)
      : Events(Events),
        Server(
            Events, static_cast<uint16_t>(FLAGS_port),
            {[this](const Exchange &Waiting) { this->handle(Waiting); },
             [this](const HttpRequest &) -> nlohmann::json {
               return {{"name", FLAGS_name},
                       {"bookings", this->Bookings},
                       {"scores", this->Scores},
                       {"reads", this->StatusReads}};
             },
             [this](const nlohmann::json &Fault) { return this->fault(Fault); },
             nullptr}) {}

private:
  void handle(const Exchange &Waiting) {
    const HttpRequest &Request = Waiting->request();
    if (Request.Path == "/score") {
      this->score(Waiting);
    } else if (Request.Path == "/bookings" && Request.Method == "POST") {
      this->book(Waiting);
    } else if (Request.Path.starts_with("/status")) {
      ++this->StatusReads;
      this->answerLater(Waiting, {{"path", Request.Path},
                                  {"query", Request.Query},
                                  {"name", FLAGS_name}});
    } else if (Request.Path == "/healthz") {
      answerJson(Waiting, 200, {{"ok", true}});
    } else {
      answerJson(Waiting, 404, {{"error", "unknown path"}});
    }
  }

  /// Answers a score between 0 and 1 that depends only on the text.
  void score(const Exchange &Waiting) {
    const nlohmann::json Body = parseJson(Waiting->request().Body);
    const std::string Text = textOf(Body, "prompt") + textOf(Body, "text");
    ++this->Scores;
    const uint64_t Hash = hashPrompt(Text).Value;
    const double Score = static_cast<double>(Hash % 1000) / 1000.0;
    this->answerLater(Waiting, {{"score", Score}});
  }

  /// Executes a booking; it is recorded before it is answered.
  void book(const Exchange &Waiting) {
    const HttpRequest &Request = Waiting->request();
    const std::string Key(findHeader(Request.Headers, "Idempotency-Key"));
    const auto Number = static_cast<int64_t>(this->Bookings.size()) + 1;
    this->Bookings.push_back({{"key", Key},
                              {"body", Request.Body},
                              {"at_ms", this->Events.now().Count}});
    this->answerLater(Waiting,
                      {{"booking", absl::StrCat(FLAGS_name, "-", Number)},
                       {"key", Key},
                       {"body", Request.Body}});
  }

  /// Answers after the time of a call, --delay_ms times SlowFactor.
  void answerLater(const Exchange &Waiting, nlohmann::json Body) {
    const Millis Delay{FLAGS_delay_ms * this->SlowFactor};
    this->Events.callAfter(Delay, [this, Waiting, Body = std::move(Body)] {
      this->Server.answer(Waiting, 200, Body);
    });
  }

  /// Injects a fault of the service.
  /// @return whether the kind of fault is known.
  bool fault(const nlohmann::json &Fault) {
    if (textOf(Fault, "kind") != "slow") {
      return false;
    }
    this->SlowFactor = intOf(Fault, "factor", 5);
    const Millis Duration{intOf(Fault, "for_ms")};
    this->Events.callAfter(Duration, [this] { this->SlowFactor = 1; });
    return true;
  }

  Loop &Events;
  /// Key, body and time of each executed booking.
  nlohmann::json Bookings = nlohmann::json::array();
  /// Number of texts scored.
  int64_t Scores = 0;
  /// Number of status calls received.
  int64_t StatusReads = 0;
  /// Factor on the time of a call.
  int64_t SlowFactor = 1;
  /// The HTTP server; declared last because its handlers use the members above.
  StandinServer Server;
};

} // namespace camphornotch::standin

/// @return 0 after SIGTERM or SIGINT.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  camphornotch::Loop Loop;
  camphornotch::standin::endOnSignal(Loop);
  const camphornotch::standin::PlainService Service(Loop);
  Loop.run();
  return 0;
}
