/// @file
/// Stand-in for the platform's rate-limited weight store.

#include "standins/common/json_func.h"
#include "standins/common/standin_server.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <gflags/gflags.h>
#include <map>

DEFINE_int32(port, 7002, "port on the loopback address");
DEFINE_int32(kilobytes, 256, "size of one version");
DEFINE_int32(kilobytes_per_second, 20000, "rate over all readers");

namespace camphornotch::standin {

/// Serves the newest versions, and weights at a rate shared by all readers.
class WeightStore {
public:
  WeightStore(Loop &Events)
      : Events(Events),
        Server(Events, static_cast<uint16_t>(FLAGS_port),
               {[this](const Exchange &Waiting) { this->handle(Waiting); },
                [this](const HttpRequest &) -> nlohmann::json {
                  return {{"newest", this->Newest}, {"reads", this->Reads}};
                },
                nullptr, nullptr}) {}

private:
  void handle(const Exchange &Waiting) {
    const HttpRequest &Request = Waiting->request();
    const std::vector<std::string> Parts =
        absl::StrSplit(Request.Path, '/', absl::SkipEmpty());
    int64_t Version = 0;
    if (Parts.size() == 3 && Parts[1] == "models") {
      this->handleModel(Waiting, Parts[2]);
    } else if (Parts.size() == 4 && Parts[1] == "weights" &&
               absl::SimpleAtoi(Parts[3], &Version)) {
      this->handleWeights(Waiting, Parts[2], Version);
    } else {
      answerJson(Waiting, 404, {{"error", "unknown path"}});
    }
  }

  /// Answers with the newest version of a model; a POST raises it first.
  void handleModel(const Exchange &Waiting, const std::string &Model) {
    int64_t &Version = this->Newest.try_emplace(Model, 1).first->second;
    if (Waiting->request().Method == "POST") {
      const nlohmann::json Body = parseJson(Waiting->request().Body);
      Version = std::max(Version, intOf(Body, "newest"));
    }
    answerJson(Waiting, 200, {{"model", Model}, {"newest", Version}});
  }

  /// Sends the bytes of a version when the rate limit allows it.
  void handleWeights(const Exchange &Waiting, const std::string &Model,
                     int64_t Version) {
    const int64_t Newest = this->Newest.try_emplace(Model, 1).first->second;
    if (Version < 1 || Version > Newest) {
      answerJson(Waiting, 404, {{"error", "no such version"}});
      return;
    }
    const Millis SendTime{int64_t{FLAGS_kilobytes} * 1000 /
                          FLAGS_kilobytes_per_second};
    this->BusyUntil = std::max(this->BusyUntil, this->Events.now()) + SendTime;
    ++this->Reads;
    this->Events.callAt(this->BusyUntil, [Waiting] {
      HttpResponse Response;
      Response.ContentType = "application/octet-stream";
      Response.Body.assign(static_cast<size_t>(FLAGS_kilobytes) * 1024, 'w');
      Waiting->answer(Response);
    });
  }

  Loop &Events;
  /// By model.
  std::map<std::string, int64_t> Newest;
  /// When the transfers accepted so far end at the limited rate.
  Millis BusyUntil;
  /// Accepted reads of weights.
  int64_t Reads = 0;
  /// The HTTP server; the last member, because its handlers use the others.
  StandinServer Server;
};

} // namespace camphornotch::standin

/// @return 0 after SIGTERM.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  camphornotch::Loop Loop;
  camphornotch::standin::endOnSignal(Loop);
  const camphornotch::standin::WeightStore Store(Loop);
  Loop.run();
  return 0;
}
