/// @file
/// Links between gateways and loaders on the loopback interface.

#include "base/clock_func.h"
#include "gateway/peer_task_base.h"
#include "standins/store/store_server.h"
#include "tests/net/net_fixture.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// The links of one process, with its own published values.
struct PeerHost {
  CommonSettings Settings;
  PublishedValues Values;
  HttpClient Http;
  platform::StoreClient Store;
  /// Reports of crashed endpoints that it received.
  std::vector<wire::CrashReport> Crashes;
  /// How many published values it received from peers.
  int ReceivedValues = 0;
  /// Whether it places work by engine loads.
  bool PlacesWork = false;
  /// What peers said about that.
  std::map<HostId, bool> LoadWanted;
  std::unique_ptr<PeerTask> Peers;
  /// The address for links.
  HttpTarget LinkTarget;

  /// @param StoreAt the store, or an address where nothing answers.
  PeerHost(Loop &Events, HttpTarget StoreAt, const std::string &Name)
      : Http(Events), Store(Events, Http, std::move(StoreAt)) {
    this->Settings.Host = Name;
    this->Settings.Role = "loader";
    this->Settings.ListenLinks = Address{"127.0.0.1", 0};
    this->Settings.Heartbeat = Millis{50};
    this->Settings.LinkSilence = Millis{400};
    this->Settings.ConnectTimeout = Millis{400};
    this->Settings.ReconnectDelay = Millis{20};
    this->Settings.MaxAnswerBytesHeld = 1 << 20;
    PeerTaskCallbacks Callbacks;
    Callbacks.OnPublished = [this](const KeyedRecord &Record) {
      ++this->ReceivedValues;
      if (this->Values.update(Record))
        this->Peers->announce();
    };
    Callbacks.OnEngineState = [](const wire::EngineStatePush &) {};
    Callbacks.OnVersionNeeded = [](const wire::WeightsAnnounce &) {};
    Callbacks.OnLinkUp = [](const HostId &) {};
    Callbacks.OnEndpointBroken = [this](const wire::CrashReport &Report) {
      this->Crashes.push_back(Report);
    };
    Callbacks.WantsLoad = [this] { return this->PlacesWork; };
    Callbacks.OnLoadWanted = [this](const HostId &Peer, bool Wanted) {
      this->LoadWanted[Peer] = Wanted;
    };
    this->Peers =
        std::make_unique<PeerTask>(Events, this->Settings, this->Store,
                                   this->Values, std::move(Callbacks));
    this->Store.setRelay([this](const platform::RawStoreCall &Call,
                                platform::RawStoreCallback Reply) {
      return this->Peers->relay(Call, std::move(Reply));
    });
    this->LinkTarget = HttpTarget{"127.0.0.1", this->Peers->listen().value()};
  }
};

/// An address at which nothing listens.
const HttpTarget Nowhere{"127.0.0.1", 9};

} // namespace

Test(peers, valueKnownToOne_reachesTheOthersThroughIt) {
  Loop Events;
  PeerHost Middle(Events, Nowhere, "loader");
  PeerHost Left(Events, Nowhere, "gateway-l");
  PeerHost Right(Events, Nowhere, "gateway-r");
  Left.Peers->connect(Middle.LinkTarget);
  Right.Peers->connect(Middle.LinkTarget);
  Left.Values.update(KeyedRecord{"config", "new", 7});
  Left.Peers->announce();
  cr_assert(
      turnUntil(Events, [&] { return Right.Values.newestOffset() == 7; }));
  cr_assert(Right.Values.all().at("config").Value == "new");
}

// Guards against a process that read a part of the values, and never gets an
// older one that its peers know, since it has one as new as theirs.
Test(peers, olderValueIsMissing_isPulledOnceAllAreWanted) {
  Loop Events;
  PeerHost Knowing(Events, Nowhere, "loader");
  PeerHost Partial(Events, Nowhere, "gateway");
  Partial.Peers->connect(Knowing.LinkTarget);
  Knowing.Values.update(KeyedRecord{"config", "c", 3});
  for (PeerHost *Each : {&Knowing, &Partial})
    Each->Values.update(KeyedRecord{"#&b", "{}", 7});
  Partial.Peers->pullAll();
  cr_assert(turnUntil(Events,
                      [&] { return Partial.Values.all().contains("config"); }));
}

Test(peers, configurationKnownToAllPeers_isReceivedOnce) {
  Loop Events;
  PeerHost Behind(Events, Nowhere, "loader");
  constexpr size_t Gateways = 24;
  std::vector<std::unique_ptr<PeerHost>> Peers;
  for (size_t Number = 0; Number < Gateways; ++Number) {
    Peers.push_back(std::make_unique<PeerHost>(
        Events, Nowhere, "gateway-" + std::to_string(Number)));
    Peers.back()->Peers->connect(Behind.LinkTarget);
  }
  cr_assert(
      turnUntil(Events, [&] { return Behind.Peers->peerCount() == Gateways; }));
  // All of them read a change of the configuration from the store at once.
  for (const auto &Each : Peers)
    Each->Values.update(KeyedRecord{"config", std::string(300'000, 'r'), 7});
  for (const auto &Each : Peers)
    Each->Peers->announce();
  cr_assert(
      turnUntil(Events, [&] { return Behind.Values.newestOffset() == 7; }));
  const Millis Until = steadyNow() + seconds(1);
  turnUntil(Events, [&] { return steadyNow() >= Until; });
  cr_assert_eq(Behind.ReceivedValues, 1);
}

Test(peers, configurationPulledByMany_isQueuedForAFewAtATime) {
  Loop Events;
  PeerHost Knowing(Events, Nowhere, "loader");
  constexpr size_t ValueBytes = 2'000'000;
  constexpr size_t Gateways = 12;
  std::vector<std::unique_ptr<PeerHost>> Behind;
  for (size_t Number = 0; Number < Gateways; ++Number) {
    Behind.push_back(std::make_unique<PeerHost>(
        Events, Nowhere, "gateway-" + std::to_string(Number)));
    Behind.back()->Peers->connect(Knowing.LinkTarget);
  }
  cr_assert(turnUntil(Events,
                      [&] { return Knowing.Peers->peerCount() == Gateways; }));
  Knowing.Values.update(KeyedRecord{"config", std::string(ValueBytes, 'r'), 7});
  size_t MostQueued = 0;
  cr_assert(turnUntil(Events, [&] {
    MostQueued = std::max(MostQueued, Knowing.Peers->queuedBytes());
    return std::ranges::all_of(
        Behind, [](const auto &Each) { return Each->ReceivedValues == 1; });
  }));
  cr_assert_leq(MostQueued, 4U * ValueBytes);
}

Test(peers, gatewayThatBeginsToPlaceWork_tellsTheLoader) {
  Loop Events;
  PeerHost Loader(Events, Nowhere, "loader");
  PeerHost Gateway(Events, Nowhere, "gateway");
  Gateway.Peers->connect(Loader.LinkTarget);
  const HostId Name{"gateway"};
  cr_assert(
      turnUntil(Events, [&] { return Loader.LoadWanted.contains(Name); }));
  cr_assert_not(Loader.LoadWanted.at(Name));
  Gateway.PlacesWork = true;
  cr_assert(turnUntil(Events, [&] { return Loader.LoadWanted.at(Name); }));
}

Test(peers, olderValue_neverReplacesANewerOne) {
  PublishedValues Values;
  cr_assert(Values.update(KeyedRecord{"config", "new", 7}));
  cr_assert(!Values.update(KeyedRecord{"config", "old", 3}));
  cr_assert(!Values.update(KeyedRecord{"config", "same", 7}));
  cr_assert(Values.all().at("config").Value == "new");
}

Test(peers, storeUnreachableForOne_itsAppendGoesThroughAPeer) {
  Loop Events;
  standin::StandinStoreServer Store(Events, 2);
  PeerHost Reaching(Events, Store.target(), "loader");
  PeerHost CutOff(Events, Nowhere, "gateway");
  CutOff.Peers->connect(Reaching.LinkTarget);
  bool Linked = false;
  cr_assert(turnUntil(Events, [&] {
    wire::PeerMessage Probe;
    Probe.__set_ConfigPullMsg(wire::ConfigPull());
    Linked = Linked || Reaching.Peers->hasPeers();
    return Linked && CutOff.Peers->hasPeers();
  }));
  int64_t Offset = -1;
  const std::string Record = "record";
  CutOff.Store.append(PartitionId{"t", 1}, std::span(&Record, 1), Millis{1'000},
                      [&](const StoreResult<int64_t> &Done) {
                        Offset = Done.has_value() ? Done.value() : -2;
                      });
  cr_assert(turnUntil(Events, [&] { return Offset != -1; }));
  cr_assert_eq(Offset, 0);
  cr_assert_eq(Store.state().partition("t", 1).Records.size(), 1U);
}

Test(peers, brokenEndpoint_isToldToAllThroughALoader) {
  Loop Events;
  PeerHost Middle(Events, Nowhere, "loader");
  PeerHost Left(Events, Nowhere, "gateway-l");
  PeerHost Right(Events, Nowhere, "gateway-r");
  Left.Peers->connect(Middle.LinkTarget);
  Right.Peers->connect(Middle.LinkTarget);
  cr_assert(turnUntil(Events, [&] {
    return Left.Peers->hasPeers() && Right.Peers->hasPeers();
  }));
  wire::CrashReport Report;
  Report.Endpoint = "i-1";
  Report.Digests = {17};
  wire::PeerMessage Message;
  Message.__set_CrashReportMsg(Report);
  Left.Peers->broadcast(Message);
  cr_assert(turnUntil(Events, [&] { return !Middle.Crashes.empty(); }));
  Middle.Peers->broadcast(Message);
  cr_assert(turnUntil(Events, [&] { return !Right.Crashes.empty(); }));
  cr_assert(Right.Crashes[0].Endpoint == "i-1");
}
