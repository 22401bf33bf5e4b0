/// @file
/// Log client against a log in memory, and parsing of the host list.

#include "base/clock_func.h"
#include "net/host_list_base.h"
#include "net/log_client_base.h"
#include "net_fixture.h"

#include <absl/strings/escaping.h>
#include <criterion/criterion.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace camphornotch;

namespace {

/// A log in memory that can withhold responses and refuse appends.
struct LogFixture : public HttpFixture {
  /// In base64; offsets start at 1.
  std::vector<std::string> Records;
  /// The number of next appends to store without a response.
  int AppendsToLose = 0;
  /// The number of next appends to refuse.
  int AppendsToRefuse = 0;
  /// Requests without a response.
  std::vector<std::shared_ptr<HttpExchange>> Lost;

  LogFixture() {
    this->Handler = [this](std::shared_ptr<HttpExchange> Exchange) {
      if (Exchange->request().Method == "POST")
        this->append(std::move(Exchange));
      else
        this->read(*Exchange);
    };
  }

  void append(std::shared_ptr<HttpExchange> Exchange) {
    if (this->AppendsToRefuse > 0) {
      --this->AppendsToRefuse;
      Exchange->answer(HttpResponse{429, "application/json", {}, "{}"});
      return;
    }
    const auto Json = nlohmann::json::parse(Exchange->request().Body);
    const size_t First = this->Records.size() + 1;
    for (const auto &Record : Json["records"])
      this->Records.push_back(Record.get<std::string>());
    if (this->AppendsToLose > 0) {
      --this->AppendsToLose;
      this->Lost.push_back(std::move(Exchange));
      return;
    }
    Exchange->answer(HttpResponse{
        200, "application/json", {}, nlohmann::json{{"first", First}}.dump()});
  }

  void read(HttpExchange &Exchange) const {
    const std::string Query = Exchange.request().Query;
    const size_t From = std::stoul(queryParameter(Query, "from"));
    nlohmann::json Answer{{"oldest", 1}, {"next", this->Records.size() + 1}};
    Answer["records"] = nlohmann::json::array();
    for (size_t Offset = From; Offset <= this->Records.size(); ++Offset)
      Answer["records"].push_back(
          {{"offset", Offset}, {"data", this->Records[Offset - 1]}});
    Exchange.answer(HttpResponse{200, "application/json", {}, Answer.dump()});
  }
};

/// A reader and an appender on one log.
struct LogClientFixture : public LogFixture {
  /// The offsets of the sequences reported as committed.
  std::map<int64_t, int64_t> Committed;
  /// The number of calls of Committed.
  int CommittedCalls = 0;
  std::vector<RetryReason> Retries;
  LogAppender Appender{
      this->Events,
      this->Client,
      this->target(),
      BootId{42},
      LogAppenderSettings{Millis{1}, 1 << 16, Millis{30}, Millis{1}, Millis{5},
                          1 << 20},
      LogAppenderCallbacks{
          [this](int64_t Sequence, LogOffset Offset) {
            this->Committed[Sequence] = Offset.Value;
            ++this->CommittedCalls;
          },
          [this](RetryReason Reason) { this->Retries.push_back(Reason); }}};
  LogReader Reader{this->Events, this->Client, this->target(),
                   LogReaderCallbacks{
                       [this](LogOffset Offset, const wire::LogRecord &Record) {
                         this->Appender.observe(Offset, Record);
                       },
                       {},
                       {},
                       {}}};
};

} // namespace

Test(logAppender, recordsOfOneTurn_goInOneAppend) {
  LogClientFixture Log;
  Log.Reader.start(LogOffset{1});
  for (int Index = 0; Index < 20; ++Index)
    cr_assert(Log.Appender.append(wire::LogRecord()).has_value());
  cr_assert(turnUntil(Log.Events, [&] { return Log.Committed.size() == 20; }));
  cr_assert_eq(Log.Appender.appendsSent(), 1U);
  cr_assert_eq(Log.Appender.unresolved(), 0U);
}

Test(logAppender, lostResponse_isRepeatedAndCommittedOnce) {
  LogClientFixture Log;
  Log.AppendsToLose = 1;
  const int64_t Sequence = Log.Appender.append(wire::LogRecord()).value();
  cr_assert(turnUntil(Log.Events, [&] { return Log.Records.size() == 2; }));
  Log.Reader.start(LogOffset{1});
  cr_assert(
      turnUntil(Log.Events, [&] { return Log.Reader.next().Value == 3; }));
  cr_assert_eq(Log.Records[0], Log.Records[1]);
  cr_assert_eq(Log.CommittedCalls, 1);
  cr_assert_eq(Log.Committed[Sequence], 1);
  cr_assert_eq(Log.Retries.front(), RetryReason::AppendUnanswered);
}

Test(logAppender, refusedAppend_isRepeated) {
  LogClientFixture Log;
  Log.AppendsToRefuse = 3;
  Log.Reader.start(LogOffset{1});
  Log.Appender.append(wire::LogRecord()).value();
  cr_assert(turnUntil(Log.Events, [&] { return Log.Committed.size() == 1; }));
  cr_assert_eq(Log.Records.size(), 1U);
  cr_assert_eq(Log.Retries.size(), 3U);
}

Test(logReader, undecodableRecord_isReportedEmpty) {
  LogFixture Log;
  Log.Records = {"%%%", absl::Base64Escape("junk")};
  std::vector<int64_t> Offsets;
  LogReaderCallbacks Callbacks;
  Callbacks.Record = [&](LogOffset Offset, const wire::LogRecord &Record) {
    cr_assert_eq(Record.WriterBoot, 0);
    Offsets.push_back(Offset.Value);
  };
  LogReader Reader(Log.Events, Log.Client, Log.target(), Callbacks);
  Reader.start(LogOffset{1});
  cr_assert(turnUntil(Log.Events, [&] { return Offsets.size() == 2; }));
  cr_assert_eq(Offsets, (std::vector<int64_t>{1, 2}));
}

Test(logReader, unreachableLog_isReportedAndReadAgain) {
  LogFixture Log;
  const HttpHandler Working = Log.Handler;
  Log.Handler = [](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->answer(HttpResponse{503, "text/plain", {}, "outage"});
  };
  std::vector<bool> States;
  LogReaderCallbacks Callbacks;
  Callbacks.Record = [](LogOffset, const wire::LogRecord &) {};
  Callbacks.Reachable = [&](bool Reachable) { States.push_back(Reachable); };
  LogReader Reader(Log.Events, Log.Client, Log.target(), Callbacks);
  Reader.start(LogOffset{1});
  cr_assert(turnUntil(Log.Events, [&] { return !States.empty(); }));
  Log.Handler = Working;
  cr_assert(turnUntil(Log.Events, [&] { return States.size() == 2; }));
  cr_assert_eq(States, (std::vector<bool>{false, true}));
}

// Guards against calls without a pause to a log that sends the same page again.
Test(logReader, pageThatDoesNotAdvance_isAskedForAfterPauses) {
  HttpFixture Net;
  int Reads = 0;
  Net.Handler = [&](const std::shared_ptr<HttpExchange> &Exchange) {
    ++Reads;
    Exchange->answer(HttpResponse{
        200, "application/json", {}, R"({"records":[{"offset":1}, 7, {}]})"});
  };
  int Reported = 0;
  LogReaderCallbacks Callbacks;
  Callbacks.Record = [&](LogOffset, const wire::LogRecord &) { ++Reported; };
  LogReader Tested(Net.Events, Net.Client, Net.target(), std::move(Callbacks));
  Tested.start(LogOffset{1});
  const Millis Until = steadyNow() + seconds(3);
  turnUntil(Net.Events, [&] { return steadyNow() >= Until; });
  cr_assert_eq(Reported, 1);
  constexpr int MaxReads = 5;
  cr_assert_geq(Reads, 3);
  cr_assert_leq(Reads, MaxReads);
}

Test(hostList, badHosts_areLeftOut) {
  const auto List = parseHostList(R"({"generation": 7, "hosts": [
    {"host": "a1", "role": "agent", "data_centre": "dc1", "region": "r1",
     "address": "127.0.0.1:7101", "http": "127.0.0.1:7201", "state": "leaving",
     "endpoint": "engine-1", "endpoint_kind": "engine", "serves": "grind"},
    {"host": "bad", "role": "agent", "address": "nowhere", "http": "x"},
    {"host": "odd", "role": "king", "address": "1.2.3.4:5", "http": "1.2.3.4:5"},
    17, null]})");
  cr_assert(List.has_value());
  cr_assert_eq(List.value().Generation, 7);
  cr_assert_eq(List.value().Hosts.size(), 1U);
  cr_assert(List.value().Hosts[0].IsAgent);
  cr_assert(List.value().Hosts[0].Leaving);
  cr_assert_eq(List.value().Hosts[0].Http.Port, 7201);
  cr_assert_not(parseHostList("[]").has_value());
  cr_assert_not(parseHostList("{").has_value());
}
