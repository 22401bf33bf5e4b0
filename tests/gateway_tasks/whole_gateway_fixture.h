/// @file
/// A whole gateway process with a stand-in of the store.

#ifndef CAMPHORNOTCH_TESTS_GATEWAY_TASKS_WHOLE_GATEWAY_FIXTURE_H
#define CAMPHORNOTCH_TESTS_GATEWAY_TASKS_WHOLE_GATEWAY_FIXTURE_H

#include "gateway/gateway_base.h"
#include "gateway_fixture.h"

#include <criterion/criterion.h>
#include <memory>
#include <string>

namespace camphornotch {

/// A gateway with a stand-in of the store.
struct WholeGateway {
  Loop Events;
  standin::StandinStoreServer Store{this->Events, 2};
  std::unique_ptr<Gateway> Tested;
  HttpClient Caller{this->Events};

  /// Starts the gateway without a configuration.
  explicit WholeGateway(const std::string &ItemOrder = "wanted_groups",
                        const std::string &Choice = "expected_time") {
    GatewaySettings Settings;
    Settings.Common.Host = "gateway-1";
    Settings.Common.DataCentre = "dc";
    Settings.Common.ListenHttp = Address{"127.0.0.1", 0};
    Settings.Common.ListenLinks = Address{"127.0.0.1", 0};
    Settings.Common.Heartbeat = Millis{500};
    Settings.Common.LinkSilence = seconds(2);
    Settings.ListenPeers = Address{"127.0.0.1", 0};
    Settings.Front = Address{"127.0.0.1", 0};
    Settings.Store = Address{"127.0.0.1", this->Store.target().Port};
    Settings.GraceSeconds = "8";
    Settings.Partitions = 2;
    Settings.RecordBytes = 4096;
    Settings.SubmissionLifetime = seconds(60);
    Settings.EndpointChoice = Choice;
    Settings.ItemOrder = ItemOrder;
    this->Tested = std::make_unique<Gateway>(this->Events, Settings);
    cr_assert(this->Tested->begin().has_value());
  }

  /// Publishes a configuration and waits until the gateway uses it.
  void configure(const std::string &Text) {
    this->Store.put("keyed.op", "config", Text);
    cr_assert(turnUntil(this->Events, [this] {
      return this->ask("GET", "/nowhere/", {}).Status == 404;
    }));
  }

  /// Registers an endpoint.
  void registerEndpoint(const std::string &Id, uint16_t Port) {
    this->Store.put("keyed.servers", Id,
                    R"({"service":"s","zone":"dc","slots":8,"state":"ready",)"
                    R"("born":1,"address":"127.0.0.1:)" +
                        std::to_string(Port) + R"("})");
  }

  /// Registers an engine as an endpoint and waits until it receives requests.
  void addEngine(const FakeEngine &Engine) {
    this->registerEndpoint("i-1", Engine.where().Port);
    cr_assert(turnUntil(this->Events, [this] {
      return this->ask("GET", "/a/x", {}).Status == 200;
    }));
  }

  /// @return the answer; status 0 if there was none.
  HttpResponse ask(std::string Method, std::string Path, std::string Body,
                   HttpHeaders Headers = {}) {
    HttpCall Call;
    Call.Target = this->Tested->callerTarget();
    Call.Host = "h";
    Call.Method = std::move(Method);
    Call.Path = std::move(Path);
    Call.Body = std::move(Body);
    Call.Headers = std::move(Headers);
    Call.Headers.push_back({"X-Camphornotch-Request-Id", "r1"});
    Call.Reuse = false;
    return answerTo(this->Events, this->Caller, std::move(Call));
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_GATEWAY_TASKS_WHOLE_GATEWAY_FIXTURE_H
