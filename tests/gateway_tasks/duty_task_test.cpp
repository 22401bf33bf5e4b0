/// @file
/// Two processes that share the usage duty, before a stand-in of the store and
/// of the operator's interface.

#include "gateway/duty_task_base.h"
#include "gateway/usage_task_base.h"
#include "gateway_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// Short times, in the order of the real ones.
constexpr LeaseTimes ShortTimes{Millis{100}, Millis{900}, Millis{1'500},
                                Millis{300}};

/// The operator's interface for duties.
struct FakeDutyService {
  struct Report {
    int64_t Window = 0;
    std::string Body;
    std::string Holder;
    int64_t Fence = 0;
  };

  explicit FakeDutyService(Loop &Events) {
    auto Made = HttpServer::listen(
        Events, HttpServerConfig{},
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          const HttpRequest &Request = Exchange->request();
          this->Reports.push_back(Report{
              platform::Json::parse(Request.Body)["window"], Request.Body,
              std::string(
                  findHeader(Request.Headers, "x-camphornotch-duty-holder")),
              std::stoll(std::string(findHeader(
                  Request.Headers, "x-camphornotch-fencing-token")))});
          if (this->Silent)
            this->Unanswered.push_back(Exchange);
          else
            Exchange->answer(HttpResponse{this->Status, "", {}, ""});
        });
    this->Server = std::move(Made.value());
  }

  std::unique_ptr<HttpServer> Server;
  std::vector<Report> Reports;
  int Status = 200;
  bool Silent = false;
  std::vector<std::shared_ptr<HttpExchange>> Unanswered;
};

/// One loader's duty task with its own clients.
struct DutyProcess {
  DutyProcess(Loop &Events, const HttpTarget &StoreTarget,
              const FakeDutyService &Service, const std::string &Host)
      : Http(Events), Store(Events, Http, StoreTarget) {
    CommonSettings Settings;
    Settings.Host = Host;
    Settings.DutyService = Address{"127.0.0.1", Service.Server->port()};
    Settings.UsageWindowSeconds = "1";
    this->Task = std::make_unique<DutyTask>(
        Events, this->Http, this->Store, Settings, this->Counts,
        DutyTaskCallbacks{[this] { return this->IsCandidate; },
                          [] { return std::vector<HostId>{HostId{"g"}}; },
                          [this](const wire::PeerMessage &Message) {
                            this->Announced = Message.DutyHolderMsg;
                          }},
        ShortTimes);
    this->Task->begin();
  }

  HttpClient Http;
  platform::StoreClient Store;
  Metrics Counts;
  bool IsCandidate = true;
  wire::DutyHolderPush Announced;
  std::unique_ptr<DutyTask> Task;
};

struct DutyNet {
  Loop Events;
  standin::StandinStoreServer Store{this->Events, 1};
  FakeDutyService Service{this->Events};
  DutyProcess First{this->Events, this->Store.target(), this->Service, "a"};
  DutyProcess Second{this->Events, this->Store.target(), this->Service, "b"};

  DutyNet() { this->Second.IsCandidate = false; }

  bool until(const std::function<bool()> &Condition) {
    return turnUntil(this->Events, Condition);
  }

  /// Gives both processes a gateway's counts of the present window.
  void count(int64_t Requests) {
    wire::UsageCountsPush Push;
    Push.Gateway = "g";
    Push.Boot = 1;
    for (int64_t Ahead = 0; Ahead < 2; ++Ahead) {
      wire::UsageWindow Each;
      Each.Window = wallNow().Count / 1'000 + Ahead;
      Each.Counts = encodeCounts({{"one", Requests}});
      Push.Windows.push_back(Each);
    }
    this->First.Task->onCounts(Push);
    this->Second.Task->onCounts(Push);
  }
};

} // namespace

Test(dutyTask, countsOfAWindow_areReportedOnceInTheHoldersName) {
  DutyNet Net;
  cr_assert(Net.until([&] { return Net.First.Announced.FencingNumber == 1; }));
  Net.count(3);
  cr_assert(Net.until([&] { return Net.Service.Reports.size() >= 3; }));
  std::set<int64_t> Windows;
  bool Found = false;
  for (const auto &Report : Net.Service.Reports) {
    cr_assert(Windows.insert(Report.Window).second);
    cr_assert_eq(Report.Holder, "a");
    cr_assert_eq(Report.Fence, 1);
    Found |= Report.Body.find(R"("one":3)") != std::string::npos;
  }
  cr_assert(Found);
}

// Guards against a second report with other counts after a holder died between
// a report and its answer.
Test(dutyTask, holderThatDiesBeforeTheAnswer_isFollowedByTheSameReport) {
  DutyNet Net;
  cr_assert(Net.until([&] { return Net.First.Announced.FencingNumber == 1; }));
  Net.count(3);
  Net.Service.Silent = true;
  cr_assert(Net.until([&] { return !Net.Service.Reports.empty(); }));
  const auto Sent = Net.Service.Reports.front();
  // The first process does nothing more, and the second counts otherwise.
  Net.First.IsCandidate = false;
  Net.First.Task->stop([] {});
  Net.count(8);
  Net.Service.Silent = false;
  Net.Second.IsCandidate = true;
  cr_assert(
      Net.until([&] { return Net.Service.Reports.back().Holder == "b"; }));
  for (const auto &Report : Net.Service.Reports) {
    if (Report.Window == Sent.Window)
      cr_assert_eq(Report.Body, Sent.Body);
    if (Report.Holder == "b")
      cr_assert_gt(Report.Fence, Sent.Fence);
  }
}

// Guards against a holder that acts while the store does not confirm its lease.
Test(dutyTask, storeThatDoesNotAnswer_silencesTheHolder) {
  DutyNet Net;
  cr_assert(Net.until([&] { return !Net.Service.Reports.empty(); }));
  Net.Store.Silent = true;
  const Millis Silence = steadyNow() + Millis{2'000};
  Net.until([&] { return steadyNow() >= Silence; });
  const size_t Before = Net.Service.Reports.size();
  const Millis Longer = steadyNow() + Millis{2'500};
  Net.until([&] { return steadyNow() >= Longer; });
  cr_assert_eq(Net.Service.Reports.size(), Before);
  Net.Store.Silent = false;
  cr_assert(Net.until([&] { return Net.Service.Reports.size() > Before; }));
}

Test(dutyTask, reportThatIsRefused_isSentAgainWordForWord) {
  DutyNet Net;
  Net.Service.Status = 429;
  cr_assert(Net.until([&] { return Net.Service.Reports.size() >= 2; }));
  Net.Service.Status = 200;
  cr_assert_eq(Net.Service.Reports[0].Body, Net.Service.Reports[1].Body);
  const int64_t Window = Net.Service.Reports[0].Window;
  cr_assert(
      Net.until([&] { return Net.Service.Reports.back().Window > Window; }));
}

// Guards against counts that stay with a gateway when the holder changes.
Test(usageTask, newHolder_getsAllUnsettledCounts) {
  Loop Events;
  CommonSettings Settings;
  Settings.Host = "g";
  Settings.DutyService = Address{"127.0.0.1", 1};
  std::vector<std::pair<HostId, wire::UsageCountsPush>> Sent;
  UsageTask Task(Events, Settings,
                 [&](const HostId &Peer, const wire::PeerMessage &Message) {
                   Sent.emplace_back(Peer, Message.UsageCountsMsg);
                 });
  ForwardCallbacks Callbacks;
  Task.count("one", Callbacks);
  Callbacks.OnAttemptSent(1, NetworkDistance::SameDataCentre);
  wire::DutyHolderPush Holder;
  Holder.FencingNumber = 4;
  Holder.SettledWindow = -1;
  Task.onHolder(HostId{"a"}, Holder);
  cr_assert_eq(Sent.size(), 1);
  cr_assert_eq(Sent[0].second.Windows.size(), 1);
  cr_assert_eq(Sent[0].second.Windows[0].Counts[0].Count, 1);
  // A holder of before changes nothing.
  wire::DutyHolderPush Older;
  Older.FencingNumber = 3;
  Task.onHolder(HostId{"b"}, Older);
  cr_assert_eq(Sent.size(), 1);
  Callbacks.OnAttemptNotRun(1);
  cr_assert(turnUntil(Events, [&] { return Sent.size() == 2; }));
  cr_assert_eq(Sent[1].first.Value, "a");
}

Test(usageTask, withoutDuties_countsNothing) {
  Loop Events;
  UsageTask Task(Events, CommonSettings{},
                 [](const HostId &, const wire::PeerMessage &) {});
  ForwardCallbacks Callbacks;
  Task.count("one", Callbacks);
  cr_assert(!Callbacks.OnAttemptSent);
}
