/// @file
/// The relay's thread: accepts connections, delays bytes, injects faults.

#include "standins/relay/relay_base.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace camphornotch::standin {

namespace {

constexpr int64_t MicrosPerSecond = 1000000;

constexpr int64_t MicrosPerMilli = 1000;

constexpr int64_t NanosPerMicro = 1000;

/// Pending bytes of one socket above which reads from the other side pause.
constexpr size_t MaxPendingBytes = size_t{8} << 20;

/// Size of one read.
constexpr size_t ReadBytes = size_t{64} << 10;

constexpr int Backlog = 512;

/// Events of one epoll_wait.
constexpr int MaxEvents = 256;

/// Exit code if a port is taken.
constexpr int ExitNoPort = 3;

/// @return the steady clock in microseconds.
int64_t nowMicros() {
  timespec Time{};
  clock_gettime(CLOCK_MONOTONIC, &Time);
  return Time.tv_sec * MicrosPerSecond + Time.tv_nsec / NanosPerMicro;
}

/// @return the loopback address with this port.
sockaddr_in loopback(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Turns off Nagle's algorithm, which would delay small writes.
void setNoDelay(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

/// Connects to a loopback port.
/// @return a socket that is connecting, or -1 on failure.
int startConnect(uint16_t Port) {
  const int Socket =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  const int Error = connect(
      Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  if (Error != 0 && errno != EINPROGRESS) {
    ::close(Socket);
    return -1;
  }
  setNoDelay(Socket);
  return Socket;
}

} // namespace

std::vector<Route> parseRoutes(const std::string &Path) {
  std::vector<Route> Routes;
  std::ifstream File(Path);
  std::string Line;
  while (std::getline(File, Line)) {
    std::istringstream Fields(Line);
    Route Next;
    if (Fields >> Next.Port >> Next.Target >> Next.DelayMicros >> Next.Group) {
      Routes.push_back(std::move(Next));
    }
  }
  return Routes;
}

Relay::Relay(std::vector<Route> InitialRoutes)
    : Routes(std::move(InitialRoutes)), EpollFd(epoll_create1(EPOLL_CLOEXEC)),
      WakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      TimerFd(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
  for (const int Descriptor : {this->WakeFd, this->TimerFd}) {
    epoll_event Event{};
    Event.events = EPOLLIN;
    Event.data.fd = Descriptor;
    epoll_ctl(this->EpollFd, EPOLL_CTL_ADD, Descriptor, &Event);
  }
  for (const Route &Path : this->Routes) {
    this->listen(Path);
  }
  this->Worker = std::thread([this] { this->run(); });
}

Relay::~Relay() {
  {
    const std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  eventfd_write(this->WakeFd, 1);
  this->Worker.join();
}

void Relay::inject(const FaultRequest &Request) {
  const std::lock_guard Lock(this->Mutex);
  this->FaultRequests.push_back(Request);
  eventfd_write(this->WakeFd, 1);
}

LineTable Relay::counts() {
  const std::lock_guard Lock(this->Mutex);
  return this->Counts;
}

void Relay::listen(const Route &Path) {
  const int Listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = loopback(Path.Port);
  if (bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      ::listen(Listener, Backlog) != 0) {
    std::fprintf(stderr, "port %d is taken: choose another one\n", Path.Port);
    std::exit(ExitNoPort);
  }
  this->Listeners[Listener] = &Path;
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = Listener;
  epoll_ctl(this->EpollFd, EPOLL_CTL_ADD, Listener, &Event);
}

void Relay::run() {
  std::array<epoll_event, MaxEvents> Events{};
  while (true) {
    this->armTimer();
    const int Count =
        epoll_wait(this->EpollFd, Events.data(), MaxEvents, /*timeout=*/1000);
    {
      const std::lock_guard Lock(this->Mutex);
      if (this->Stopping) {
        return;
      }
    }
    for (int Index = 0; Index < Count; ++Index) {
      this->dispatch(Events[Index]);
    }
    this->runFaultRequests();
    this->writeDue();
    this->removeClosed();
  }
}

void Relay::dispatch(const epoll_event &Event) {
  const auto Socket = static_cast<int>(Event.data.u64 & 0xffffffffU);
  if (Socket == this->WakeFd || Socket == this->TimerFd) {
    uint64_t Value = 0;
    (void)!::read(Socket, &Value, sizeof(Value));
    return;
  }
  const auto Listener = this->Listeners.find(Socket);
  if (Listener != this->Listeners.end()) {
    this->accept(Socket, *Listener->second);
    return;
  }
  const auto Found = this->Sockets.find(Socket);
  if (Found == this->Sockets.end() || Found->second->Owner->Closed) {
    return;
  }
  Side &Ready = *Found->second;
  if ((Event.events & EPOLLOUT) != 0) {
    Ready.WriteBlocked = false;
    this->updateEvents(Ready);
  }
  if ((Event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    this->read(Ready);
  }
}

void Relay::accept(int Listener, const Route &Path) {
  while (true) {
    const int Socket =
        accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Socket < 0) {
      return;
    }
    setNoDelay(Socket);
    const int Other = startConnect(Path.Target);
    if (Other < 0) {
      ::close(Socket);
      continue;
    }
    auto NewConnection = std::make_unique<RelayedConnection>();
    NewConnection->Path = &Path;
    const std::array Both = {Socket, Other};
    for (int Index = 0; Index < 2; ++Index) {
      Side &Added = NewConnection->Sides[Index];
      Added.Socket = Both[Index];
      Added.Owner = NewConnection.get();
      Added.Index = Index;
      Added.WriteBlocked = Index == 1;
      this->Sockets[Added.Socket] = &Added;
      epoll_event Event{};
      Event.data.u64 = static_cast<uint64_t>(Added.Socket);
      epoll_ctl(this->EpollFd, EPOLL_CTL_ADD, Added.Socket, &Event);
      this->updateEvents(Added);
    }
    this->Connections.push_back(std::move(NewConnection));
    const std::lock_guard Lock(this->Mutex);
    ++this->Counts[Path.Group].Connections;
  }
}

void Relay::read(Side &Source) {
  RelayedConnection &Owner = *Source.Owner;
  Side &Destination = Owner.Sides[1 - Source.Index];
  if (Source.ReadEnded || Source.ReadPaused) {
    return;
  }
  std::string Buffer(ReadBytes, '\0');
  const ssize_t Received = ::read(Source.Socket, Buffer.data(), Buffer.size());
  if (Received < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      Owner.ResetAtMicros = nowMicros() + Owner.Path->DelayMicros;
      Source.ReadEnded = true;
      this->updateEvents(Source);
    }
    return;
  }
  Buffer.resize(static_cast<size_t>(Received));
  if (Received == 0) {
    Source.ReadEnded = true;
  }
  if (!Owner.Silent) {
    Destination.PendingBytes += Buffer.size();
    Destination.PendingChunks.push_back(
        {nowMicros() + Owner.Path->DelayMicros, std::move(Buffer)});
    Source.ReadPaused = Destination.PendingBytes > MaxPendingBytes;
    const std::lock_guard Lock(this->Mutex);
    this->Counts[Owner.Path->Group].Bytes += Received;
  }
  this->updateEvents(Source);
}

void Relay::write(Side &Destination) {
  const int64_t Now = nowMicros();
  RelayedConnection &Owner = *Destination.Owner;
  while (!Destination.WriteBlocked && !Destination.PendingChunks.empty() &&
         Destination.PendingChunks.front().DueMicros <= Now) {
    Chunk &Next = Destination.PendingChunks.front();
    if (Next.Bytes.empty()) {
      ::shutdown(Destination.Socket, SHUT_WR);
      Destination.WriteEnded = true;
      Destination.PendingChunks.pop_front();
      continue;
    }
    const ssize_t Sent = ::send(Destination.Socket, Next.Bytes.data(),
                                Next.Bytes.size(), MSG_NOSIGNAL);
    if (Sent < 0) {
      if (errno == EAGAIN) {
        Destination.WriteBlocked = true;
        this->updateEvents(Destination);
        return;
      }
      this->close(Owner, true);
      return;
    }
    Destination.PendingBytes -= static_cast<size_t>(Sent);
    Next.Bytes.erase(0, static_cast<size_t>(Sent));
    if (Next.Bytes.empty()) {
      Destination.PendingChunks.pop_front();
    }
  }
  Side &Source = Owner.Sides[1 - Destination.Index];
  if (Source.ReadPaused && Destination.PendingBytes <= MaxPendingBytes / 2) {
    Source.ReadPaused = false;
    this->updateEvents(Source);
  }
}

void Relay::writeDue() {
  const int64_t Now = nowMicros();
  for (const std::unique_ptr<RelayedConnection> &Connection :
       this->Connections) {
    if (Connection->Closed || Connection->Silent ||
        this->isCut(*Connection->Path)) {
      continue;
    }
    this->write(Connection->Sides[0]);
    if (!Connection->Closed) {
      this->write(Connection->Sides[1]);
    }
    const bool Ended =
        Connection->Sides[0].WriteEnded && Connection->Sides[1].WriteEnded;
    const bool Reset =
        Connection->ResetAtMicros > 0 && Connection->ResetAtMicros <= Now;
    if (!Connection->Closed && (Ended || Reset)) {
      this->close(*Connection, Reset);
    }
  }
}

void Relay::updateEvents(Side &Watched) {
  epoll_event Event{};
  Event.data.u64 = static_cast<uint64_t>(Watched.Socket);
  if (!Watched.ReadEnded && !Watched.ReadPaused) {
    Event.events |= EPOLLIN;
  }
  if (Watched.WriteBlocked) {
    Event.events |= EPOLLOUT;
  }
  if (Event.events == 0) {
    Event.events = EPOLLET;
  }
  epoll_ctl(this->EpollFd, EPOLL_CTL_MOD, Watched.Socket, &Event);
}

void Relay::close(RelayedConnection &Connection, bool Reset) {
  for (Side &Closing : Connection.Sides) {
    if (Reset) {
      const linger ResetOnClose{1, 0};
      setsockopt(Closing.Socket, SOL_SOCKET, SO_LINGER, &ResetOnClose,
                 sizeof(ResetOnClose));
    }
    this->Sockets.erase(Closing.Socket);
    ::close(Closing.Socket);
  }
  Connection.Closed = true;
}

void Relay::removeClosed() {
  std::erase_if(this->Connections,
                [](const std::unique_ptr<RelayedConnection> &Connection) {
                  return Connection->Closed;
                });
}

void Relay::runFaultRequests() {
  std::vector<FaultRequest> Queued;
  {
    const std::lock_guard Lock(this->Mutex);
    Queued.swap(this->FaultRequests);
  }
  for (const FaultRequest &Request : Queued) {
    this->applyFault(Request);
  }
}

void Relay::applyFault(const FaultRequest &Request) {
  if (Request.Fault == LineFault::Cut) {
    for (const Route &Path : this->Routes) {
      if (Request.Group == "*" || Path.Group == Request.Group) {
        this->CutUntil[Path.Group] =
            nowMicros() + Request.DurationMs * MicrosPerMilli;
      }
    }
    return;
  }
  for (const std::unique_ptr<RelayedConnection> &Connection :
       this->Connections) {
    if (Connection->Closed ||
        (Request.Group != "*" && Connection->Path->Group != Request.Group)) {
      continue;
    }
    if (Request.Fault == LineFault::Drop) {
      this->close(*Connection, true);
    } else {
      Connection->Silent = true;
    }
  }
}

bool Relay::isCut(const Route &Path) const {
  const auto Found = this->CutUntil.find(Path.Group);
  return Found != this->CutUntil.end() && Found->second > nowMicros();
}

void Relay::armTimer() {
  int64_t Due = INT64_MAX;
  for (const std::unique_ptr<RelayedConnection> &Connection :
       this->Connections) {
    if (Connection->Silent) {
      continue;
    }
    int64_t Next =
        Connection->ResetAtMicros > 0 ? Connection->ResetAtMicros : INT64_MAX;
    for (const Side &Waiting : Connection->Sides) {
      if (!Waiting.WriteBlocked && !Waiting.PendingChunks.empty()) {
        Next = std::min(Next, Waiting.PendingChunks.front().DueMicros);
      }
    }
    const auto Cut = this->CutUntil.find(Connection->Path->Group);
    if (Next < INT64_MAX && Cut != this->CutUntil.end()) {
      Next = std::max(Next, Cut->second);
    }
    Due = std::min(Due, Next);
  }
  itimerspec Spec{};
  if (Due < INT64_MAX) {
    const int64_t ExpiresAt = std::max<int64_t>(Due, 1);
    Spec.it_value.tv_sec = ExpiresAt / MicrosPerSecond;
    Spec.it_value.tv_nsec = ExpiresAt % MicrosPerSecond * NanosPerMicro;
  }
  timerfd_settime(this->TimerFd, TFD_TIMER_ABSTIME, &Spec, nullptr);
}

} // namespace camphornotch::standin
