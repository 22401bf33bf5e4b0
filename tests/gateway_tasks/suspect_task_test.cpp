/// @file
/// What gateways and loaders tell each other of requests that break endpoints,
/// over links on the loopback interface.

#include "base/clock_func.h"
#include "gateway/suspect_task_base.h"
#include "standins/store/store_server.h"
#include "tests/net/net_fixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>

using namespace camphornotch;

namespace {

/// An address at which nothing listens.
const HttpTarget NoStore{"127.0.0.1", 9};

const RequestDigest Poison{17};

/// The links of one process and what it knows of requests.
struct SuspectHost {
  CommonSettings Settings;
  PublishedValues Values;
  HttpClient Http;
  platform::StoreClient Store;
  Metrics Counts;
  PeerTask Peers;
  SuspectTask Suspects;
  HttpTarget LinkTarget;

  SuspectHost(Loop &Events, const std::string &Name, SuspectRelay Relay,
              HttpTarget StoreAt = NoStore)
      : Settings(settingsOf(Name)), Http(Events),
        Store(Events, Http, std::move(StoreAt)),
        Peers(Events, this->Settings, Store, Values, this->callbacks()),
        Suspects(Peers, Counts, Relay), LinkTarget{
                                            "127.0.0.1",
                                            this->Peers.listen().value()} {}

  static CommonSettings settingsOf(const std::string &Name) {
    CommonSettings Settings;
    Settings.Host = Name;
    Settings.Role = "loader";
    Settings.ListenLinks = Address{"127.0.0.1", 0};
    Settings.Heartbeat = Millis{50};
    Settings.LinkSilence = Millis{400};
    Settings.ConnectTimeout = Millis{400};
    Settings.ReconnectDelay = Millis{20};
    Settings.MaxAnswerBytesHeld = 1 << 20;
    return Settings;
  }

  PeerTaskCallbacks callbacks() {
    PeerTaskCallbacks Callbacks;
    Callbacks.OnLinkUp = [this](const HostId &Peer) {
      this->Suspects.onLinkUp(Peer);
    };
    Callbacks.OnEndpointBroken = [this](const wire::CrashReport &Report) {
      this->Suspects.onReport(Report);
    };
    Callbacks.OnSuspects = [this](const HostId &Peer,
                                  const wire::SuspectsPush &Push) {
      this->Suspects.onPush(Peer, Push);
    };
    return Callbacks;
  }

  /// The request breaks an endpoint to which this host sent it.
  void breaks(const std::string &Endpoint) {
    this->Suspects.onBroken(Poison, EndpointLifetime{EndpointId{Endpoint}, 1},
                            steadyNow(), Millis{0});
  }

  /// The request breaks three endpoints, one after another.
  void breaksThree() {
    for (const char *Endpoint : {"a", "b", "c"})
      this->breaks(Endpoint);
  }

  bool holdsBack() const { return this->Suspects.isQuarantined(Poison); }

  /// @return whether it knows of that many acquittals and breaks since then.
  bool knows(int64_t Acquittals, int Breaks) const {
    const auto State = this->Suspects.table().state(Poison, steadyNow());
    return State.has_value() && State->Acquittals == Acquittals &&
           State->Breaks == Breaks;
  }
};

/// A gateway that keeps what it knows in the store.
struct StoringHost : SuspectHost {
  SuspectLog Log;

  StoringHost(Loop &Events, const HttpTarget &StoreAt, const std::string &Name)
      : SuspectHost(Events, Name, SuspectRelay::None, StoreAt),
        Log(Events, this->Store, [this](const wire::SuspectState &State) {
          this->Suspects.onRecord(State);
        }) {
    this->Suspects.keepIn(this->Log);
    this->Log.begin();
  }
};

/// Gateways and loaders by name; each gateway connects to all loaders.
struct SuspectNet {
  Loop Events;
  std::map<std::string, std::unique_ptr<SuspectHost>> Gateways;
  std::map<std::string, std::unique_ptr<SuspectHost>> Loaders;

  SuspectNet() {
    for (const char *Name : {"loader-1", "loader-2"})
      this->startLoader(Name);
    for (const char *Name : {"gateway-1", "gateway-2", "gateway-3"})
      this->startGateway(Name);
  }

  /// Starts a gateway, in place of the one of that name.
  SuspectHost &startGateway(const std::string &Name) {
    this->Gateways.erase(Name);
    auto &Made = this->Gateways[Name];
    Made =
        std::make_unique<SuspectHost>(this->Events, Name, SuspectRelay::None);
    for (const auto &[Id, Loader] : this->Loaders)
      Made->Peers.connect(Loader->LinkTarget);
    return *Made;
  }

  /// Starts a loader, in place of the one of that name.
  SuspectHost &startLoader(const std::string &Name) {
    this->Loaders.erase(Name);
    auto &Made = this->Loaders[Name];
    Made = std::make_unique<SuspectHost>(this->Events, Name,
                                         SuspectRelay::AllPeers);
    for (const auto &[Id, Gateway] : this->Gateways)
      Gateway->Peers.connect(Made->LinkTarget);
    return *Made;
  }

  SuspectHost &gateway(const std::string &Name) {
    return *this->Gateways.at(Name);
  }

  /// @return whether all gateways and loaders get to hold the request back.
  bool allHoldBack() {
    return this->all([](const SuspectHost &Host) { return Host.holdsBack(); });
  }

  /// The request breaks three endpoints to which one gateway sent it.
  /// @return whether all gateways and loaders get to hold it back.
  bool breaksThree() {
    const bool Linked = this->linked();
    this->gateway("gateway-1").breaksThree();
    return Linked && this->allHoldBack();
  }

  /// @return whether all get to know that many acquittals and breaks.
  bool allKnow(int64_t Acquittals, int Breaks) {
    return this->all([=](const SuspectHost &Host) {
      return Host.knows(Acquittals, Breaks);
    });
  }

  /// @return whether each gateway is linked to all loaders.
  bool linked() {
    return turnUntil(this->Events, [this] {
      return std::ranges::all_of(this->Gateways, [this](const auto &Each) {
        return Each.second->Peers.peerCount() == this->Loaders.size();
      });
    });
  }

  template <typename Condition> bool all(const Condition &Holds) {
    return turnUntil(this->Events, [&] {
      const auto Each = [&](const auto &Entry) { return Holds(*Entry.second); };
      return std::ranges::all_of(this->Gateways, Each) &&
             std::ranges::all_of(this->Loaders, Each);
    });
  }
};

} // namespace

TestSuite(suspects, .timeout = 60);

Test(suspects, breakSeenByOne_isKnownToAll) {
  SuspectNet Net;
  cr_assert(Net.linked());
  Net.gateway("gateway-1").breaks("a");
  cr_assert(Net.allKnow(0, 1));
  Net.gateway("gateway-2").breaks("b");
  cr_assert(Net.allKnow(0, 2));
  Net.gateway("gateway-3").breaks("c");
  cr_assert(Net.allHoldBack());
}

// Guards against a request that each restarted gateway passes on again
// (review/9).
Test(suspects, gatewaysRestartedInTurn_holdTheRequestBack) {
  SuspectNet Net;
  cr_assert(Net.breaksThree());
  for (const char *Name : {"gateway-1", "gateway-2", "gateway-3"}) {
    Net.startGateway(Name);
    cr_assert(Net.allHoldBack());
  }
}

Test(suspects, gatewaysRestartedAtOnce_learnOfTheRequestFromLoaders) {
  SuspectNet Net;
  cr_assert(Net.breaksThree());
  Net.Gateways.clear();
  for (const char *Name : {"gateway-1", "gateway-2", "gateway-3"})
    Net.startGateway(Name);
  cr_assert(Net.allHoldBack());
}

// Guards against loaders that cannot tell a gateway started later.
Test(suspects, loadersRestartedAtOnce_learnOfTheRequestFromGateways) {
  SuspectNet Net;
  cr_assert(Net.breaksThree());
  Net.Loaders.clear();
  for (const char *Name : {"loader-1", "loader-2"})
    Net.startLoader(Name);
  cr_assert(Net.allHoldBack());
  Net.Gateways.clear();
  Net.startGateway("gateway-4");
  cr_assert(Net.allHoldBack());
}

Test(suspects, gatewayAndLoaderAdded_holdTheRequestBack) {
  SuspectNet Net;
  cr_assert(Net.breaksThree());
  Net.startLoader("loader-3");
  Net.startGateway("gateway-4");
  cr_assert(Net.allHoldBack());
}

// Guards against what a process learns while it is cut off: its peers have to
// learn it once they are linked again, and it from them.
Test(suspects, breaksWhileCutOff_areKnownToAllOnceLinked) {
  for (const bool CutOffKnows : {false, true}) {
    SuspectNet Net;
    cr_assert(Net.linked());
    SuspectHost &CutOff = Net.gateway("gateway-2");
    for (const auto &[Name, Loader] : Net.Loaders)
      CutOff.Peers.disconnect(Loader->LinkTarget);
    cr_assert(turnUntil(Net.Events, [&] { return !CutOff.Peers.hasPeers(); }));
    (CutOffKnows ? CutOff : Net.gateway("gateway-1")).breaksThree();
    cr_assert_eq(CutOff.holdsBack(), CutOffKnows);
    for (const auto &[Name, Loader] : Net.Loaders)
      CutOff.Peers.connect(Loader->LinkTarget);
    cr_assert(Net.allHoldBack());
  }
}

// Guards against a sound request that processes hold back although another one
// has seen it succeed: breaks of before must not come back from any of them.
Test(suspects, successAfterBreaks_isKnownToAllAndToThoseStartedLater) {
  SuspectNet Net;
  cr_assert(Net.linked());
  for (int Round = 0; Round < 4; ++Round) {
    Net.gateway("gateway-1").breaks("a" + std::to_string(Round));
    Net.gateway("gateway-1").breaks("b" + std::to_string(Round));
    cr_assert(Net.allKnow(Round, 2));
    Net.gateway("gateway-2").Suspects.onSucceeded(Poison);
    cr_assert(Net.allKnow(Round + 1, 0));
    Net.startGateway("gateway-3");
    Net.startLoader("loader-1");
    cr_assert(Net.allKnow(Round + 1, 0));
  }
}

namespace {

/// Gateways that share a store, with no link to each other.
struct UnlinkedNet {
  Loop Events;
  standin::StandinStoreServer Store{this->Events, 2};
  std::map<std::string, std::unique_ptr<StoringHost>> Gateways;

  StoringHost &start(const std::string &Name) {
    this->Gateways.erase(Name);
    auto &Made = this->Gateways[Name];
    Made =
        std::make_unique<StoringHost>(this->Events, this->Store.target(), Name);
    return *Made;
  }

  /// Starts all gateways anew, at once.
  void restartAll() {
    this->Gateways.clear();
    for (const char *Name : {"gateway-1", "gateway-2"})
      this->start(Name);
  }

  /// @return whether all gateways get to know that many acquittals and breaks.
  bool allKnow(int64_t Acquittals, int Breaks) {
    return turnUntil(this->Events, [&] {
      return std::ranges::all_of(this->Gateways, [&](const auto &Each) {
        return Each.second->knows(Acquittals, Breaks);
      });
    });
  }
};

} // namespace

// Guards against a request that is passed on again once all processes were
// started anew at the same time, and against gateways that are linked to none.
Test(suspects, allProcessesRestartedAtOnce_theStoreStillKnows) {
  UnlinkedNet Net;
  Net.restartAll();
  Net.Gateways.at("gateway-1")->breaks("a");
  cr_assert(Net.allKnow(0, 1));
  Net.Gateways.at("gateway-2")->breaks("b");
  cr_assert(Net.allKnow(0, 2));
  Net.Gateways.at("gateway-1")->breaks("c");
  cr_assert(Net.allKnow(0, 3));
  Net.restartAll();
  cr_assert(Net.allKnow(0, 3));
  cr_assert(Net.Gateways.at("gateway-2")->holdsBack());
}

// Guards against a sound request that is held back after such a start, by
// records from before its success.
Test(suspects, successAfterRecords_isRecordedToo) {
  UnlinkedNet Net;
  Net.restartAll();
  Net.Gateways.at("gateway-1")->breaksThree();
  cr_assert(Net.allKnow(0, 3));
  Net.Gateways.at("gateway-2")->Suspects.onSucceeded(Poison);
  cr_assert(Net.allKnow(1, 0));
  Net.restartAll();
  cr_assert(Net.allKnow(1, 0));
}

// Guards against a quarantine that is never stored because the store was away
// when it began.
Test(suspects, storeAwayWhenTheRequestBreaks_isRecordedLater) {
  UnlinkedNet Net;
  Net.restartAll();
  Net.Store.Busy = true;
  Net.Gateways.at("gateway-1")->breaksThree();
  cr_assert(Net.Gateways.at("gateway-1")->holdsBack());
  cr_assert_not(Net.Gateways.at("gateway-2")->holdsBack());
  Net.Store.Busy = false;
  cr_assert(Net.allKnow(0, 3));
}

// Guards against records of another writer, and records that were trimmed.
Test(suspects, oddOrExpiredRecords_theOthersAreRead) {
  UnlinkedNet Net;
  const std::vector<std::string> Odd{"", "garbage", std::string(70, '\xff')};
  Net.Store.state().append("suspects", 0, Odd, std::nullopt);
  Net.Store.state().dropHistory("suspects", 0);
  Net.Store.state().append("suspects", 0, Odd, std::nullopt);
  Net.restartAll();
  Net.Gateways.at("gateway-1")->breaksThree();
  cr_assert(Net.allKnow(0, 3));
}
