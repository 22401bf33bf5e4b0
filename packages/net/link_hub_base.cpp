/// @file
/// Keeps one logical link to each peer, replacing connections that fail.

#include "net/link_hub_base.h"

#include "base/clock_func.h"
#include "net/link_connection_internal.h"
#include "net/listen_internal.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <unordered_map>
#include <utility>

namespace camphornotch {

namespace {

/// The accepting side reports a peer as down after this multiple of
/// SilenceAfter; the connecting side has opened a new connection by then.
constexpr int64_t AcceptedSilenceFactor = 3;

/// A connection and the hub's state of it.
struct HubConnection {
  std::shared_ptr<LinkConnection> Transport;
  /// The address connected to; empty address: the connection was accepted.
  HttpTarget Target;
  /// The sender of the Hello received; empty: none yet.
  HostId Peer;
  /// When the last message arrived.
  Millis LastReceivedAt;
  /// When the peer last echoed a newer heartbeat of this process.
  Millis LastEchoAt;
  /// The last heartbeat sequence that the peer echoed.
  int64_t EchoedSequence = 0;
  /// The last heartbeat sequence of the peer.
  int64_t PeerSequence = 0;
  /// The last heartbeat sequence sent.
  int64_t SentSequence = 0;
  /// Closes the connection if no Hello arrives within ConnectTimeout.
  TimerId HelloTimer;

  /// @return whether the peer opened the connection.
  bool accepted() const { return this->Target.Address.empty(); }
};

/// The state of a peer.
struct PeerState {
  /// The connection in use; 0: it is being replaced.
  uint64_t Connection = 0;
  int64_t Boot = 0;
  /// Reports a peer as down that does not reconnect.
  TimerId LostTimer;
};

/// The state of an address passed to connect().
struct TargetState {
  /// The connection being established; 0: none.
  uint64_t Attempt = 0;
  /// The peer that was last reached there.
  HostId Peer;
  /// Consecutive failures.
  int Failures = 0;
  TimerId RetryTimer;
};

} // namespace

/// Callbacks refer to the state by weak pointers.
struct LinkHub::State : public std::enable_shared_from_this<LinkHub::State> {
  explicit State(Loop &Events) : Events(Events) {}

  Loop &Events;
  LinkSettings Settings;
  /// The Hello to send on each connection.
  wire::Hello OwnHello;
  LinkHandler Handler;
  /// Optional.
  HeartbeatFiller Filler;
  std::shared_ptr<LinkCounters> Counters = std::make_shared<LinkCounters>();
  /// Null unless listen() was called.
  h2o_socket_t *Listener = nullptr;
  /// All connections by id.
  std::unordered_map<uint64_t, HubConnection> Connections;
  /// The peers that are up, or whose connection is being replaced.
  std::unordered_map<HostId, PeerState> Peers;
  /// The addresses passed to connect().
  std::map<HttpTarget, TargetState> Targets;
  /// Sockets not yet connected, with the ids of their connections.
  std::unordered_map<h2o_socket_t *, uint64_t> Connecting;
  /// The last connection id assigned.
  uint64_t LastConnection = 0;
  TimerId HeartbeatTimer;

  /// Creates the state of a new connection.
  /// @param Target the address to connect to; empty if accepted.
  /// @return the connection's id.
  uint64_t addConnection(const HttpTarget &Target) {
    const uint64_t Id = ++this->LastConnection;
    HubConnection &New = this->Connections[Id];
    New.Transport =
        std::make_shared<LinkConnection>(this->Events, this->Counters);
    New.Target = Target;
    New.LastReceivedAt = steadyNow();
    New.LastEchoAt = New.LastReceivedAt;
    const std::weak_ptr<State> Weak = this->weak_from_this();
    New.Transport->OnMessages = [Weak,
                                 Id](std::vector<wire::PeerMessage> Batch) {
      if (const auto Self = Weak.lock())
        Self->onMessages(Id, std::move(Batch));
    };
    New.Transport->OnClosed = [Weak, Id](const std::string &Cause) {
      if (const auto Self = Weak.lock())
        Self->onClosed(Id, Cause);
    };
    New.HelloTimer =
        this->Events.callAfter(this->Settings.ConnectTimeout, [Weak, Id] {
          if (const auto Self = Weak.lock())
            Self->onClosed(Id, "no Hello received in time");
        });
    return Id;
  }

  void sendHello(HubConnection &Connection) const {
    wire::PeerMessage Message;
    Message.__set_HelloMsg(this->OwnHello);
    Connection.Transport->send(Message, this->Settings.MaxQueuedBytes);
  }

  /// Closes and removes a connection without reporting an event.
  /// @param Id ignored if there is no such connection.
  void removeConnection(uint64_t Id) {
    const auto Found = this->Connections.find(Id);
    if (Found == this->Connections.end())
      return;
    this->Events.cancel(Found->second.HelloTimer);
    const auto Transport = Found->second.Transport;
    this->Connections.erase(Found);
    std::erase_if(this->Connecting, [Id](const auto &Entry) {
      if (Entry.second != Id)
        return false;
      Entry.first->data = nullptr;
      h2o_socket_close(Entry.first);
      return true;
    });
    Transport->close();
    // A callback of this connection may be running: keep it alive for this
    // turn.
    this->Events.defer([Transport] {});
  }

  /* ---- Connecting ---- */

  /// Opens a connection to a target, unless one is already being opened.
  void openConnection(const HttpTarget &Target) {
    const auto Found = this->Targets.find(Target);
    if (Found == this->Targets.end() || Found->second.Attempt != 0)
      return;
    this->Events.cancel(Found->second.RetryTimer);
    const uint64_t Id = this->addConnection(Target);
    Found->second.Attempt = Id;
    sockaddr_in Address = socketAddress(Target);
    h2o_socket_t *Socket = h2o_socket_connect(
        this->Events.h2oLoop(), reinterpret_cast<sockaddr *>(&Address),
        sizeof(Address), State::onConnected);
    if (Socket == nullptr) {
      this->Events.defer([Weak = this->weak_from_this(), Id] {
        if (const auto Self = Weak.lock())
          Self->onClosed(Id, "cannot connect");
      });
      return;
    }
    Socket->data = this;
    this->Connecting.emplace(Socket, Id);
  }

  /// @param Failure null if the connection is established.
  static void onConnected(h2o_socket_t *Socket, const char *Failure) {
    auto *Owner = static_cast<State *>(Socket->data);
    if (Owner == nullptr)
      return;
    const auto Self = Owner->shared_from_this();
    const auto Found = Self->Connecting.find(Socket);
    assert(Found != Self->Connecting.end());
    const uint64_t Id = Found->second;
    Self->Connecting.erase(Found);
    if (Failure != nullptr) {
      h2o_socket_close(Socket);
      Self->onClosed(Id, Failure);
      return;
    }
    HubConnection &Connection = Self->Connections.at(Id);
    Connection.Transport->attach(Socket);
    Self->sendHello(Connection);
  }

  /// Schedules the next attempt after a failure, with exponential backoff.
  void scheduleRetry(const HttpTarget &Target, TargetState &Entry) {
    constexpr int MaxDoublings = 10;
    const int64_t Factor = int64_t{1} << std::min(Entry.Failures, MaxDoublings);
    const Millis Wait =
        std::min(this->Settings.BackoffMin * Factor, this->Settings.BackoffMax);
    ++Entry.Failures;
    this->Events.cancel(Entry.RetryTimer);
    Entry.RetryTimer =
        this->Events.callAfter(Wait, [Weak = this->weak_from_this(), Target] {
          if (const auto Self = Weak.lock())
            Self->openConnection(Target);
        });
  }

  /// @return whether there is room for a connection without a Hello.
  bool mayAccept() const {
    if (this->Settings.MaxWithoutHello == 0)
      return true;
    const auto WithoutHello = static_cast<size_t>(
        std::ranges::count_if(this->Connections, [](const auto &Each) {
          return Each.second.accepted() && Each.second.Peer.Value.empty();
        }));
    return WithoutHello < this->Settings.MaxWithoutHello;
  }

  /// Accepts pending connections.
  static void onAccept(h2o_socket_t *Listener, const char *Failure) {
    auto *Self = static_cast<State *>(Listener->data);
    if (Failure != nullptr)
      return;
    while (h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener)) {
      if (!Self->mayAccept()) {
        h2o_socket_close(Socket);
        continue;
      }
      const uint64_t Id = Self->addConnection(HttpTarget{});
      HubConnection &Connection = Self->Connections.at(Id);
      if (Self->Settings.LimitsAccepted)
        Connection.Transport->limitBeforeHello();
      Connection.Transport->attach(Socket);
      Self->sendHello(Connection);
    }
  }

  /* ---- Link state ---- */

  /// Handles a connection that failed or received no Hello in time.
  void onClosed(uint64_t Id, const std::string &Cause) {
    const auto Found = this->Connections.find(Id);
    if (Found == this->Connections.end())
      return;
    const HttpTarget Target = Found->second.Target;
    const HostId Peer = Found->second.Peer;
    this->removeConnection(Id);
    const auto Entry = this->Targets.find(Target);
    const bool HasTarget = Entry != this->Targets.end();
    const bool WasAttempt = HasTarget && Entry->second.Attempt == Id;
    if (WasAttempt) {
      Entry->second.Attempt = 0;
      this->scheduleRetry(Target, Entry->second);
      // The new connection failed too, so the peer is down.
      this->reportDown(HostId(Entry->second.Peer), Cause);
      return;
    }
    const auto Known = this->Peers.find(Peer);
    if (Known == this->Peers.end() || Known->second.Connection != Id)
      return;
    Known->second.Connection = 0;
    if (HasTarget)
      this->openConnection(Target);
    else
      this->awaitReconnect(Peer, Known->second, Cause);
  }

  /// Gives a peer that connected to this process time to reconnect.
  void awaitReconnect(const HostId &Peer, PeerState &Known,
                      const std::string &Cause) {
    this->Events.cancel(Known.LostTimer);
    Known.LostTimer =
        this->Events.callAfter(this->Settings.SilenceAfter,
                               [Weak = this->weak_from_this(), Peer, Cause] {
                                 if (const auto Self = Weak.lock())
                                   Self->reportDown(Peer, Cause);
                               });
  }

  /// Reports LinkDown if the peer was up, and closes its connection.
  void reportDown(const HostId &Peer, const std::string &Cause) {
    const auto Known = this->Peers.find(Peer);
    if (Known == this->Peers.end())
      return;
    this->Events.cancel(Known->second.LostTimer);
    const uint64_t Old = Known->second.Connection;
    this->Peers.erase(Known);
    this->removeConnection(Old);
    this->Handler(LinkDown{Peer, Cause});
  }

  /// Handles the peer's first message on a connection.
  void onHello(uint64_t Id, const wire::Hello &Hello) {
    HubConnection &Connection = this->Connections.at(Id);
    const HostId Peer{Hello.Host};
    Connection.Peer = Peer;
    this->Events.cancel(Connection.HelloTimer);
    this->recordPeer(Connection, Id);
    const auto Known = this->Peers.find(Peer);
    const bool SameBoot =
        Known != this->Peers.end() && Known->second.Boot == Hello.Boot;
    if (Known != this->Peers.end() && !SameBoot)
      this->reportDown(Peer, "the peer restarted");
    PeerState &State = this->Peers[Peer];
    this->Events.cancel(State.LostTimer);
    this->removeConnection(State.Connection);
    State.Connection = Id;
    State.Boot = Hello.Boot;
    this->Handler(LinkUp{Peer, Hello, SameBoot});
  }

  /// Records which peer was reached at a connection's target.
  void recordPeer(const HubConnection &Connection, uint64_t Id) {
    const auto Entry = this->Targets.find(Connection.Target);
    if (Entry == this->Targets.end())
      return;
    Entry->second.Peer = Connection.Peer;
    Entry->second.Failures = 0;
    if (Entry->second.Attempt == Id)
      Entry->second.Attempt = 0;
  }

  void onMessages(uint64_t Id, std::vector<wire::PeerMessage> Batch) {
    for (wire::PeerMessage &Message : Batch) {
      const auto Found = this->Connections.find(Id);
      if (Found == this->Connections.end())
        return; // The handler of the previous message closed it.
      this->onMessage(Id, Found->second, std::move(Message));
    }
  }

  void onMessage(uint64_t Id, HubConnection &Connection,
                 wire::PeerMessage Message) {
    Connection.LastReceivedAt = steadyNow();
    const bool HasHello = !Connection.Peer.Value.empty();
    const bool IsHello =
        Message.__isset.HelloMsg && !Message.HelloMsg.Host.empty();
    if (HasHello == IsHello) {
      ++this->Counters->BadFrames;
      this->onClosed(Id,
                     "Hello must be the first message and be sent only once");
      return;
    }
    if (IsHello) {
      this->onHello(Id, Message.HelloMsg);
      return;
    }
    if (Message.__isset.HeartbeatMsg)
      State::recordHeartbeat(Connection, Message.HeartbeatMsg);
    this->Handler(LinkMessage{Connection.Peer, std::move(Message)});
  }

  /// Updates the state of the connection from a received heartbeat.
  static void recordHeartbeat(HubConnection &Connection,
                              const wire::Heartbeat &Heartbeat) {
    Connection.PeerSequence = Heartbeat.Sequence;
    if (Heartbeat.EchoSequence <= Connection.EchoedSequence)
      return;
    Connection.EchoedSequence = Heartbeat.EchoSequence;
    Connection.LastEchoAt = steadyNow();
  }

  /* ---- Heartbeats ---- */

  /// Sends a heartbeat to each peer.
  void sendHeartbeats() {
    wire::PeerMessage Message;
    wire::Heartbeat Heartbeat;
    if (this->Filler)
      this->Filler(Heartbeat);
    Message.__set_HeartbeatMsg(Heartbeat);
    for (auto &[Id, Connection] : this->Connections) {
      if (Connection.Peer.Value.empty())
        continue;
      Message.HeartbeatMsg.Sequence = ++Connection.SentSequence;
      Message.HeartbeatMsg.EchoSequence = Connection.PeerSequence;
      Connection.Transport->send(Message, this->Settings.MaxQueuedBytes);
    }
  }

  /// Sends heartbeats, checks for silence, and schedules the next heartbeat.
  void onHeartbeatTimer() {
    this->sendHeartbeats();
    this->checkSilence();
    this->HeartbeatTimer = this->Events.callAfter(
        this->Settings.HeartbeatInterval, [Weak = this->weak_from_this()] {
          if (const auto Self = Weak.lock())
            Self->onHeartbeatTimer();
        });
  }

  /// Replaces or closes the connections that have been silent for too long.
  void checkSilence() {
    const Millis Now = steadyNow();
    std::vector<uint64_t> Silent;
    for (const auto &[Id, Connection] : this->Connections) {
      const Millis LastActiveAt =
          std::min(Connection.LastReceivedAt, Connection.LastEchoAt);
      const int64_t Factor = Connection.accepted() ? AcceptedSilenceFactor : 1;
      const bool HasHello = !Connection.Peer.Value.empty();
      if (HasHello && Now - LastActiveAt > this->Settings.SilenceAfter * Factor)
        Silent.push_back(Id);
    }
    for (const uint64_t Id : Silent)
      this->onSilent(Id);
  }

  /// Opens a new connection if this process connects to the peer; else reports
  /// the peer as down.
  void onSilent(uint64_t Id) {
    const auto Found = this->Connections.find(Id);
    if (Found == this->Connections.end())
      return;
    const HttpTarget Target = Found->second.Target;
    const auto Entry = this->Targets.find(Target);
    if (Entry == this->Targets.end()) {
      this->reportDown(HostId(Found->second.Peer), "silence");
      this->removeConnection(Id);
      return;
    }
    if (Entry->second.Attempt != 0)
      return;
    ++this->Counters->SilenceProbes;
    this->openConnection(Target);
  }
};

LinkHub::LinkHub(Loop &Events, const LinkSettings &Settings,
                 wire::Hello OwnHello, LinkHandler Handler)
    : Inner(std::make_shared<State>(Events)) {
  this->Inner->Settings = Settings;
  this->Inner->OwnHello = std::move(OwnHello);
  this->Inner->Handler = std::move(Handler);
  this->Inner->onHeartbeatTimer();
}

LinkHub::~LinkHub() {
  this->Inner->Events.cancel(this->Inner->HeartbeatTimer);
  if (this->Inner->Listener != nullptr)
    h2o_socket_close(this->Inner->Listener);
  this->Inner->Handler = [](const LinkEvent &) {};
  while (!this->Inner->Connections.empty())
    this->Inner->removeConnection(this->Inner->Connections.begin()->first);
}

Result<uint16_t> LinkHub::listen(const HttpTarget &Target) {
  auto Socket = listenOn(Target);
  if (!Socket)
    return Socket.error();
  this->Inner->Listener =
      h2o_evloop_socket_create(this->Inner->Events.h2oLoop(), Socket.value().Fd,
                               H2O_SOCKET_FLAG_DONT_READ);
  this->Inner->Listener->data = this->Inner.get();
  h2o_socket_read_start(this->Inner->Listener, State::onAccept);
  return Socket.value().Port;
}

void LinkHub::connect(const HttpTarget &Target) {
  if (this->Inner->Targets.try_emplace(Target).second)
    this->Inner->openConnection(Target);
}

void LinkHub::disconnect(const HttpTarget &Target) {
  const auto Entry = this->Inner->Targets.find(Target);
  if (Entry == this->Inner->Targets.end())
    return;
  const TargetState Old = Entry->second;
  this->Inner->Targets.erase(Entry);
  this->Inner->Events.cancel(Old.RetryTimer);
  this->Inner->removeConnection(Old.Attempt);
  this->Inner->Events.defer([Self = this->Inner, Old] {
    Self->reportDown(Old.Peer, "this process closed the link");
  });
}

bool LinkHub::send(const HostId &Peer, const wire::PeerMessage &Message) {
  const auto Known = this->Inner->Peers.find(Peer);
  if (Known == this->Inner->Peers.end() || Known->second.Connection == 0)
    return false;
  const HubConnection &Connection =
      this->Inner->Connections.at(Known->second.Connection);
  const bool Queued =
      Connection.Transport->send(Message, this->Inner->Settings.MaxQueuedBytes);
  if (!Queued)
    ++this->Inner->Counters->QueueFull;
  return Queued;
}

bool LinkHub::isUp(const HostId &Peer) const {
  return this->Inner->Peers.contains(Peer);
}

std::vector<HostId> LinkHub::peers() const {
  std::vector<HostId> Hosts;
  for (const auto &[Peer, Known] : this->Inner->Peers)
    Hosts.push_back(Peer);
  return Hosts;
}

void LinkHub::onHeartbeat(HeartbeatFiller Filler) {
  this->Inner->Filler = std::move(Filler);
}

void LinkHub::setHello(wire::Hello OwnHello) {
  this->Inner->OwnHello = std::move(OwnHello);
}

void LinkHub::sendHeartbeats() { this->Inner->sendHeartbeats(); }

LinkCounters LinkHub::counters() const { return *this->Inner->Counters; }

size_t LinkHub::queuedBytes() const {
  size_t Sum = 0;
  for (const auto &[Id, Connection] : this->Inner->Connections)
    Sum += Connection.Transport->queuedBytes();
  return Sum;
}

} // namespace camphornotch
