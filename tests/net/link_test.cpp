/// @file
/// Peer links over real sockets: framing, invalid input, silence, restart.

#include "net/link_hub_base.h"
#include "net_fixture.h"
#include "wire/codec_func.h"

#include <criterion/criterion.h>
#include <deque>
#include <fcntl.h>
#include <optional>
#include <utility>
#include <vector>

using namespace camphornotch;

namespace {

/// Timeouts short enough for a test.
constexpr LinkSettings QuickSettings{Millis{10}, Millis{60}, Millis{200},
                                     Millis{5},  Millis{20}, 1 << 20};

wire::Hello helloOf(const std::string &Host, int64_t Boot) {
  wire::Hello Hello;
  Hello.Host = Host;
  Hello.Boot = Boot;
  return Hello;
}

std::string helloFrame(const wire::Hello &Hello) {
  wire::PeerMessage Message;
  Message.__set_HelloMsg(Hello);
  return encodeFrame(Message);
}

/// @return a message that can be recognized by its work id.
wire::PeerMessage cancelOf(int64_t Work) {
  wire::CancelWork Cancel;
  Cancel.Work = Work;
  wire::PeerMessage Message;
  Message.__set_CancelWorkMsg(Cancel);
  return Message;
}

/// A hub and the events that it reported.
struct HubFixture {
  /// Without heartbeats.
  std::deque<LinkEvent> Reported;
  LinkHub Hub;

  HubFixture(Loop &Events, const wire::Hello &Hello,
             const LinkSettings &Settings = QuickSettings)
      : Hub(Events, Settings, Hello,
            [this](LinkEvent Event) { this->record(std::move(Event)); }) {}

  void record(LinkEvent Event) {
    const auto *Message = std::get_if<LinkMessage>(&Event);
    if (Message == nullptr || !Message->Message.__isset.HeartbeatMsg)
      this->Reported.push_back(std::move(Event));
  }

  /// @return the work ids of the messages received so far.
  std::vector<int64_t> works() const {
    std::vector<int64_t> Numbers;
    for (const LinkEvent &Event : this->Reported)
      if (const auto *Message = std::get_if<LinkMessage>(&Event))
        Numbers.push_back(Message->Message.CancelWorkMsg.Work);
    return Numbers;
  }

  /// @return the number of events of a type.
  template <typename EventT> size_t count() const {
    size_t Number = 0;
    for (const LinkEvent &Event : this->Reported)
      Number += std::holds_alternative<EventT>(Event) ? 1 : 0;
    return Number;
  }
};

/// A listening socket from which the test accepts connections.
struct PlainListener {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  HttpTarget Target{"127.0.0.1", 0};

  /// Listens on a free port.
  PlainListener() {
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Base = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Length = sizeof(Address);
    cr_assert_eq(bind(this->Fd, Base, Length), 0);
    cr_assert_eq(listen(this->Fd, 8), 0);
    cr_assert_eq(getsockname(this->Fd, Base, &Length), 0);
    this->Target.Port = ntohs(Address.sin_port);
  }
  ~PlainListener() { close(this->Fd); }
  PlainListener(const PlainListener &) = delete;
  PlainListener &operator=(const PlainListener &) = delete;

  /// Runs the loop until a connection arrives.
  /// @return its socket.
  int acceptOne(Loop &Events) const {
    int Accepted = -1;
    turnUntil(Events, [&] {
      Accepted = accept4(this->Fd, nullptr, nullptr, SOCK_CLOEXEC);
      return Accepted >= 0;
    });
    return Accepted;
  }
};

void sendAll(int Fd, std::string_view Bytes) {
  (void)!send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
}

} // namespace

Test(link, messagesBothWays_arriveInOrder) {
  Loop Events;
  HubFixture Left(Events, helloOf("left", 1));
  HubFixture Right(Events, helloOf("right", 2));
  const uint16_t Port = Right.Hub.listen({"127.0.0.1", 0}).value();
  Left.Hub.connect({"127.0.0.1", Port});
  cr_assert(turnUntil(Events, [&] {
    return Left.Hub.isUp(HostId{"right"}) && Right.Hub.isUp(HostId{"left"});
  }));
  for (int64_t Work = 1; Work <= 100; ++Work) {
    cr_assert(Left.Hub.send(HostId{"right"}, cancelOf(Work)));
    cr_assert(Right.Hub.send(HostId{"left"}, cancelOf(-Work)));
  }
  cr_assert(turnUntil(Events, [&] {
    return Left.works().size() == 100 && Right.works().size() == 100;
  }));
  cr_assert_eq(Right.works().front(), 1);
  cr_assert_eq(Right.works().back(), 100);
  cr_assert_eq(Left.works().back(), -100);
}

Test(link, framesSplitAndCoalesced_areDecoded) {
  Loop Events;
  HubFixture Hub(Events, helloOf("hub", 1));
  const uint16_t Port = Hub.Hub.listen({"127.0.0.1", 0}).value();
  PlainSocket Peer(Port);
  const std::string Bytes = helloFrame(helloOf("peer", 7)) +
                            encodeFrame(cancelOf(1)) + encodeFrame(cancelOf(2));
  for (size_t Index = 0; Index + 5 < Bytes.size(); ++Index) {
    Peer.send(std::string_view(Bytes).substr(Index, 1));
    Events.runOnce(Millis{0});
  }
  Peer.send(std::string_view(Bytes).substr(Bytes.size() - 5));
  Peer.send(encodeFrame(cancelOf(3)) + encodeFrame(cancelOf(4)));
  cr_assert(turnUntil(Events, [&] { return Hub.works().size() == 4; }));
  cr_assert_eq(Hub.works(), (std::vector<int64_t>{1, 2, 3, 4}));
}

Test(link, invalidBytes_closeOnlyTheirConnection) {
  Loop Events;
  HubFixture Hub(Events, helloOf("hub", 1));
  const uint16_t Port = Hub.Hub.listen({"127.0.0.1", 0}).value();
  PlainSocket Good(Port);
  Good.send(helloFrame(helloOf("good", 1)));
  const std::string Hostile[] = {
      std::string("\xff\xff\xff\xff", 4), // length over the limit
      std::string("\0\0\0\4zzzz", 8),     // not Thrift
      std::string("\0\0\0\0", 4),         // empty frame
      encodeFrame(cancelOf(1)),           // before any Hello
      helloFrame(helloOf("", 1)),         // empty host
      helloFrame(helloOf("a", 1)) + helloFrame(helloOf("a", 1)),
  };
  for (const std::string &Bytes : Hostile) {
    PlainSocket Bad(Port);
    Bad.send(Bytes);
    cr_assert(turnUntil(Events, [&] { return Bad.ended(); }));
  }
  cr_assert_eq(Hub.Hub.counters().BadFrames, std::size(Hostile));
  cr_assert(Hub.Hub.isUp(HostId{"good"}));
  cr_assert(Hub.works().empty());
}

Test(link, silentConnection_isReplacedWithoutDown) {
  Loop Events;
  HubFixture Hub(Events, helloOf("hub", 1));
  const PlainListener Listener;
  Hub.Hub.connect(Listener.Target);
  const int First = Listener.acceptOne(Events);
  sendAll(First, helloFrame(helloOf("peer", 5)));
  cr_assert(turnUntil(Events, [&] { return Hub.count<LinkUp>() == 1; }));
  // Nothing more arrives on the first connection, so the hub opens a second.
  const int Second = Listener.acceptOne(Events);
  cr_assert_geq(Second, 0);
  sendAll(Second, helloFrame(helloOf("peer", 5)));
  cr_assert(turnUntil(Events, [&] { return Hub.count<LinkUp>() == 2; }));
  cr_assert(std::get<LinkUp>(Hub.Reported.back()).SameBoot);
  cr_assert_eq(Hub.count<LinkDown>(), 0U);
  cr_assert_geq(Hub.Hub.counters().SilenceProbes, 1U);
  // Messages that arrive late on the old connection are ignored.
  sendAll(First, encodeFrame(cancelOf(9)));
  sendAll(Second, encodeFrame(cancelOf(10)));
  cr_assert(turnUntil(Events, [&] { return !Hub.works().empty(); }));
  cr_assert_eq(Hub.works(), std::vector<int64_t>{10});
  close(First);
  close(Second);
}

Test(link, peerThatEchoesNoHeartbeat_countsAsSilent) {
  Loop Events;
  HubFixture Hub(Events, helloOf("hub", 1));
  const PlainListener Listener;
  Hub.Hub.connect(Listener.Target);
  const int First = Listener.acceptOne(Events);
  sendAll(First, helloFrame(helloOf("peer", 5)));
  wire::PeerMessage Heartbeat;
  Heartbeat.__set_HeartbeatMsg(wire::Heartbeat());
  int Second = -1;
  // The peer sends heartbeats, but echoes none of the hub's: the connection
  // works in one direction only.
  cr_assert(turnUntil(Events, [&] {
    sendAll(First, encodeFrame(Heartbeat));
    Second = accept4(Listener.Fd, nullptr, nullptr, SOCK_CLOEXEC);
    return Second >= 0;
  }));
  close(First);
  close(Second);
}

Test(link, peerThatStopsListening_isDeclaredDown) {
  Loop Events;
  HubFixture Left(Events, helloOf("left", 1));
  auto Right = std::make_unique<HubFixture>(Events, helloOf("right", 2));
  const uint16_t Port = Right->Hub.listen({"127.0.0.1", 0}).value();
  Left.Hub.connect({"127.0.0.1", Port});
  cr_assert(turnUntil(Events, [&] { return Left.Hub.isUp(HostId{"right"}); }));
  Right.reset();
  cr_assert(turnUntil(Events, [&] { return Left.count<LinkDown>() == 1; }));
  cr_assert_not(Left.Hub.send(HostId{"right"}, cancelOf(1)));
  Right = std::make_unique<HubFixture>(Events, helloOf("right", 3));
  cr_assert(Right->Hub.listen({"127.0.0.1", Port}).has_value());
  cr_assert(turnUntil(Events, [&] { return Left.Hub.isUp(HostId{"right"}); }));
  cr_assert_not(std::get<LinkUp>(Left.Reported.back()).SameBoot);
}

Test(link, acceptedPeerOfNewBoot_replacesTheOld) {
  Loop Events;
  HubFixture Hub(Events, helloOf("hub", 1));
  const uint16_t Port = Hub.Hub.listen({"127.0.0.1", 0}).value();
  PlainSocket Old(Port);
  Old.send(helloFrame(helloOf("peer", 1)));
  cr_assert(turnUntil(Events, [&] { return Hub.count<LinkUp>() == 1; }));
  PlainSocket New(Port);
  New.send(helloFrame(helloOf("peer", 2)));
  cr_assert(turnUntil(Events, [&] { return Hub.count<LinkUp>() == 2; }));
  cr_assert_eq(Hub.count<LinkDown>(), 1U);
  cr_assert(turnUntil(Events, [&] { return Old.ended(); }));
}

Test(link, fullQueue_refusesToSend) {
  Loop Events;
  LinkSettings Settings = QuickSettings;
  Settings.MaxQueuedBytes = 1000;
  HubFixture Hub(Events, helloOf("hub", 1), Settings);
  const uint16_t Port = Hub.Hub.listen({"127.0.0.1", 0}).value();
  PlainSocket Peer(Port);
  Peer.send(helloFrame(helloOf("peer", 1)));
  cr_assert(turnUntil(Events, [&] { return Hub.Hub.isUp(HostId{"peer"}); }));
  bool Refused = false;
  for (int64_t Work = 0; Work < 1000 && !Refused; ++Work)
    Refused = !Hub.Hub.send(HostId{"peer"}, cancelOf(Work));
  cr_assert(Refused);
  cr_assert_eq(Hub.Hub.counters().QueueFull, 1U);
}
