/// @file
/// Stand-in of a plain service: scores, bookings that may run once, status.

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

/// The service and its record of what it ran.
class PlainService {
public:
  /// @param Events the loop to run on.
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
  /// @param Waiting a request.
  void handle(const Exchange &Waiting) {
    const HttpRequest &Request = Waiting->request();
    if (Request.Path == "/score") {
      this->score(Waiting);
    } else if (Request.Path == "/bookings" && Request.Method == "POST") {
      this->book(Waiting);
    } else if (Request.Path.starts_with("/status")) {
      ++this->StatusReads;
      this->later(Waiting, {{"path", Request.Path},
                            {"query", Request.Query},
                            {"name", FLAGS_name}});
    } else if (Request.Path == "/healthz") {
      answerJson(Waiting, 200, {{"ok", true}});
    } else {
      answerJson(Waiting, 404, {{"error", "unknown path"}});
    }
  }

  /// @param Waiting a text to be scored.
  void score(const Exchange &Waiting) {
    const nlohmann::json Body = parseJson(Waiting->request().Body);
    const std::string Text = textOf(Body, "prompt") + textOf(Body, "text");
    ++this->Scores;
    const uint64_t Hash = hashPrompt(Text).Value;
    const double Score = static_cast<double>(Hash % 1000) / 1000.0;
    this->later(Waiting, {{"score", Score}});
  }

  /// Runs a booking; it is recorded before its answer.
  /// @param Waiting the booking.
  void book(const Exchange &Waiting) {
    const HttpRequest &Request = Waiting->request();
    const std::string Key(findHeader(Request.Headers, "Idempotency-Key"));
    const auto Number = static_cast<int64_t>(this->Bookings.size()) + 1;
    this->Bookings.push_back({{"key", Key},
                              {"body", Request.Body},
                              {"at_ms", this->Events.now().Count}});
    this->later(Waiting, {{"booking", absl::StrCat(FLAGS_name, "-", Number)},
                          {"key", Key},
                          {"body", Request.Body}});
  }

  /// Answers after the time of a call.
  /// @param Waiting the request.
  /// @param Body the answer.
  void later(const Exchange &Waiting, nlohmann::json Body) {
    const Millis Delay{FLAGS_delay_ms * this->SlowFactor};
    this->Events.callAfter(Delay, [this, Waiting, Body = std::move(Body)] {
      this->Server.answer(Waiting, 200, Body);
    });
  }

  /// @param Fault a fault of the service.
  /// @return whether it is known.
  bool fault(const nlohmann::json &Fault) {
    if (textOf(Fault, "kind") != "slow") {
      return false;
    }
    this->SlowFactor = intOf(Fault, "factor", 5);
    const Millis For{intOf(Fault, "for_ms")};
    this->Events.callAfter(For, [this] { this->SlowFactor = 1; });
    return true;
  }

  /// The loop.
  Loop &Events;
  /// Each booking that ran, with key and body.
  nlohmann::json Bookings = nlohmann::json::array();
  /// Texts scored.
  int64_t Scores = 0;
  /// Status calls answered.
  int64_t StatusReads = 0;
  /// How many times slower than usual.
  int64_t SlowFactor = 1;
  /// The HTTP side; last, since it calls the rest.
  StandinServer Server;
};

} // namespace camphornotch::standin

/// @param ArgCount number of arguments.
/// @param Args the flags above.
/// @return 0 after SIGTERM.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  camphornotch::Loop Loop;
  camphornotch::standin::endOnSignal(Loop);
  const camphornotch::standin::PlainService Service(Loop);
  Loop.run();
  return 0;
}
