/// @file
/// Sends one kind of HTTP request at a rate or as fast as answers come, and
/// prints the latencies as one JSON line.

#include "net/http_client_base.h"
#include "net/loop_base.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <gflags/gflags.h>
#include <string>
#include <utility>
#include <vector>

DEFINE_string(target, "127.0.0.1:7200", "where to send");
DEFINE_string(path, "/", "path and query");
DEFINE_string(body, "", "body; empty: GET");
DEFINE_int32(requests, 5000, "requests in all");
DEFINE_int32(connections, 1, "requests in flight at once, at most");
DEFINE_double(rate, 0, "requests started a second; 0: as answers come");

namespace camphornotch {

namespace {

using Clock = std::chrono::steady_clock;

/// Callers named in turn, so that no caller's limit is met.
constexpr int Callers = 16;

/// @param Since an instant.
/// @return microseconds since then.
int64_t microsSince(Clock::time_point Since) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                               Since)
      .count();
}

/// Sends the requests.
class Driver {
public:
  /// @param Events the loop.
  /// @param Target where to send.
  Driver(Loop &Events, HttpTarget Target)
      : Events(Events), Http(Events), Target(std::move(Target)) {}

  /// Sends all and waits for all answers.
  void run() {
    this->Started = Clock::now();
    this->fill();
    this->Events.run();
  }

  /// Prints what was seen.
  void print() {
    std::sort(this->Micros.begin(), this->Micros.end());
    const double Seconds =
        static_cast<double>(microsSince(this->Started)) / 1e6;
    std::printf("{\"requests\":%zu,\"failed\":%d,\"p50_us\":%lld,"
                "\"p99_us\":%lld,\"per_second\":%.0f,\"seconds\":%.2f}\n",
                this->Micros.size(), this->Failed, this->quantile(50),
                this->quantile(99),
                static_cast<double>(this->Micros.size()) / Seconds, Seconds);
  }

private:
  /// @param Percent a share.
  /// @return the latency that this share stays under.
  long long quantile(size_t Percent) const {
    if (this->Micros.empty())
      return -1;
    return this->Micros[(this->Micros.size() - 1) * Percent / 100];
  }

  /// @return requests that may have been started by now.
  int allowed() const {
    if (FLAGS_rate <= 0)
      return FLAGS_requests;
    const double Seconds =
        static_cast<double>(microsSince(this->Started)) / 1e6;
    return std::min(FLAGS_requests, static_cast<int>(Seconds * FLAGS_rate) + 1);
  }

  /// Starts what may be started.
  void fill() {
    while (this->Open < FLAGS_connections && this->Sent < this->allowed())
      this->send();
    if (this->Sent < FLAGS_requests && this->Open < FLAGS_connections)
      this->Events.callAfter(Millis{1}, [this] { this->fill(); });
  }

  /// Starts one request.
  void send() {
    ++this->Open;
    HttpCall Call;
    Call.Target = this->Target;
    Call.Method = FLAGS_body.empty() ? "GET" : "POST";
    Call.Path = FLAGS_path;
    Call.Body = FLAGS_body;
    Call.Headers = {
        {"content-type", "application/json"},
        {"x-caller", "bench-" + std::to_string(this->Sent++ % Callers)}};
    const Clock::time_point Begin = Clock::now();
    HttpCallbacks Told;
    Told.Finished = [this, Begin](const HttpResponse &Response) {
      constexpr int StatusOk = 200;
      if (Response.Status == StatusOk)
        this->Micros.push_back(microsSince(Begin));
      else
        ++this->Failed;
      this->ended();
    };
    Told.Failed = [this](const HttpFailure &) {
      ++this->Failed;
      this->ended();
    };
    this->Http.start(std::move(Call), std::move(Told));
  }

  /// One request has ended.
  void ended() {
    --this->Open;
    if (this->Open == 0 && this->Sent == FLAGS_requests)
      this->Events.stop();
    else
      this->fill();
  }

  /// The loop.
  Loop &Events;
  /// Sends the requests.
  HttpClient Http;
  /// Where to send.
  HttpTarget Target;
  /// When the first request was sent.
  Clock::time_point Started;
  /// Requests in flight.
  int Open = 0;
  /// Requests sent.
  int Sent = 0;
  /// Requests without a good answer.
  int Failed = 0;
  /// Latencies of the good answers.
  std::vector<int64_t> Micros;
};

} // namespace

} // namespace camphornotch

/// @param Count argc.
/// @param Arguments the flags above.
/// @return 0 if the target is an address.
int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  const auto Target = camphornotch::parseTarget(FLAGS_target);
  if (!Target) {
    std::fprintf(stderr, "%s\n", Target.error().Remedy.c_str());
    return 2;
  }
  camphornotch::Loop Events;
  camphornotch::Driver Driver(Events, Target.value());
  Driver.run();
  Driver.print();
  return 0;
}
