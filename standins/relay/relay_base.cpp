/// @file
/// The relay's thread: accepts, delays, passes on, injects faults.

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

/// Microseconds in a second.
constexpr int64_t MicrosPerSecond = 1000000;

/// Microseconds in a millisecond.
constexpr int64_t MicrosPerMilli = 1000;

/// Nanoseconds in a microsecond.
constexpr int64_t NanosPerMicro = 1000;

/// Bytes on their way to one socket above which reading rests.
constexpr size_t MaxIncomingBytes = size_t{8} << 20;

/// Bytes read at once.
constexpr size_t ReadBytes = size_t{64} << 10;

/// Length of the queue of new connections.
constexpr int Backlog = 512;

/// Events taken at once.
constexpr int MaxEvents = 256;

/// Exit code when a port cannot be had.
constexpr int ExitNoPort = 3;

/// @return the steady clock in microseconds.
int64_t nowMicros() {
  timespec Time{};
  clock_gettime(CLOCK_MONOTONIC, &Time);
  return Time.tv_sec * MicrosPerSecond + Time.tv_nsec / NanosPerMicro;
}

/// @param Port a port.
/// @return it on the loopback address.
sockaddr_in loopback(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Sends small writes at once.
/// @param Socket a socket.
void setNoDelay(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

/// @param Port where to connect to.
/// @return a socket that is connecting, or -1.
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

Relay::Relay(std::vector<Route> Given)
    : Routes(std::move(Given)), Poll(epoll_create1(EPOLL_CLOEXEC)),
      Wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      Timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
  for (const int Own : {this->Wake, this->Timer}) {
    epoll_event Event{};
    Event.events = EPOLLIN;
    Event.data.fd = Own;
    epoll_ctl(this->Poll, EPOLL_CTL_ADD, Own, &Event);
  }
  for (const Route &Path : this->Routes) {
    this->listen(Path);
  }
  this->Worker = std::thread([this] { this->run(); });
}

Relay::~Relay() {
  {
    const std::lock_guard Lock(this->Shared);
    this->Ending = true;
  }
  eventfd_write(this->Wake, 1);
  this->Worker.join();
}

void Relay::order(const LineOrder &Order) {
  const std::lock_guard Lock(this->Shared);
  this->Orders.push_back(Order);
  eventfd_write(this->Wake, 1);
}

LineTable Relay::counts() {
  const std::lock_guard Lock(this->Shared);
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
  epoll_ctl(this->Poll, EPOLL_CTL_ADD, Listener, &Event);
}

void Relay::run() {
  std::array<epoll_event, MaxEvents> Events{};
  while (true) {
    this->armTimer();
    const int Count =
        epoll_wait(this->Poll, Events.data(), MaxEvents, /*timeout=*/1000);
    {
      const std::lock_guard Lock(this->Shared);
      if (this->Ending) {
        return;
      }
    }
    for (int Index = 0; Index < Count; ++Index) {
      this->dispatch(Events[Index]);
    }
    this->takeOrders();
    this->writeDue();
    this->sweep();
  }
}

void Relay::dispatch(const epoll_event &Event) {
  const auto Socket = static_cast<int>(Event.data.u64 & 0xffffffffU);
  if (Socket == this->Wake || Socket == this->Timer) {
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
  if (Found == this->Sockets.end() || Found->second->Owner->Dead) {
    return;
  }
  Side &Ready = *Found->second;
  if ((Event.events & EPOLLOUT) != 0) {
    Ready.Blocked = false;
    this->watch(Ready);
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
    auto Made = std::make_unique<Pair>();
    Made->Path = &Path;
    const std::array Both = {Socket, Other};
    for (int Which = 0; Which < 2; ++Which) {
      Side &Added = Made->Sides[Which];
      Added.Socket = Both[Which];
      Added.Owner = Made.get();
      Added.Which = Which;
      Added.Blocked = Which == 1;
      this->Sockets[Added.Socket] = &Added;
      epoll_event Event{};
      Event.data.u64 = static_cast<uint64_t>(Added.Socket);
      epoll_ctl(this->Poll, EPOLL_CTL_ADD, Added.Socket, &Event);
      this->watch(Added);
    }
    this->Pairs.push_back(std::move(Made));
    const std::lock_guard Lock(this->Shared);
    ++this->Counts[Path.Group].Connections;
  }
}

void Relay::read(Side &From) {
  Pair &Owner = *From.Owner;
  Side &To = Owner.Sides[1 - From.Which];
  if (From.ReadEnded || From.Resting) {
    return;
  }
  std::string Buffer(ReadBytes, '\0');
  const ssize_t Got = ::read(From.Socket, Buffer.data(), Buffer.size());
  if (Got < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      Owner.ResetAtMicros = nowMicros() + Owner.Path->DelayMicros;
      From.ReadEnded = true;
      this->watch(From);
    }
    return;
  }
  Buffer.resize(static_cast<size_t>(Got));
  if (Got == 0) {
    From.ReadEnded = true;
  }
  if (!Owner.Silent) {
    To.IncomingBytes += Buffer.size();
    To.Incoming.push_back(
        {nowMicros() + Owner.Path->DelayMicros, std::move(Buffer)});
    From.Resting = To.IncomingBytes > MaxIncomingBytes;
    const std::lock_guard Lock(this->Shared);
    this->Counts[Owner.Path->Group].Bytes += Got;
  }
  this->watch(From);
}

void Relay::write(Side &To) {
  const int64_t Now = nowMicros();
  Pair &Owner = *To.Owner;
  while (!To.Blocked && !To.Incoming.empty() &&
         To.Incoming.front().DueMicros <= Now) {
    Parcel &Next = To.Incoming.front();
    if (Next.Bytes.empty()) {
      ::shutdown(To.Socket, SHUT_WR);
      To.WriteEnded = true;
      To.Incoming.pop_front();
      continue;
    }
    const ssize_t Sent =
        ::send(To.Socket, Next.Bytes.data(), Next.Bytes.size(), MSG_NOSIGNAL);
    if (Sent < 0) {
      if (errno == EAGAIN) {
        To.Blocked = true;
        this->watch(To);
        return;
      }
      this->close(Owner, true);
      return;
    }
    To.IncomingBytes -= static_cast<size_t>(Sent);
    Next.Bytes.erase(0, static_cast<size_t>(Sent));
    if (Next.Bytes.empty()) {
      To.Incoming.pop_front();
    }
  }
  Side &From = Owner.Sides[1 - To.Which];
  if (From.Resting && To.IncomingBytes <= MaxIncomingBytes / 2) {
    From.Resting = false;
    this->watch(From);
  }
}

void Relay::writeDue() {
  const int64_t Now = nowMicros();
  for (const std::unique_ptr<Pair> &Each : this->Pairs) {
    if (Each->Dead || Each->Silent || this->isCut(*Each->Path)) {
      continue;
    }
    this->write(Each->Sides[0]);
    if (!Each->Dead) {
      this->write(Each->Sides[1]);
    }
    const bool Ended = Each->Sides[0].WriteEnded && Each->Sides[1].WriteEnded;
    const bool Reset = Each->ResetAtMicros > 0 && Each->ResetAtMicros <= Now;
    if (!Each->Dead && (Ended || Reset)) {
      this->close(*Each, Reset);
    }
  }
}

void Relay::watch(Side &Watched) {
  epoll_event Event{};
  Event.data.u64 = static_cast<uint64_t>(Watched.Socket);
  if (!Watched.ReadEnded && !Watched.Resting) {
    Event.events |= EPOLLIN;
  }
  if (Watched.Blocked) {
    Event.events |= EPOLLOUT;
  }
  if (Event.events == 0) {
    Event.events = EPOLLET;
  }
  epoll_ctl(this->Poll, EPOLL_CTL_MOD, Watched.Socket, &Event);
}

void Relay::close(Pair &Over, bool Reset) {
  for (Side &Each : Over.Sides) {
    if (Reset) {
      const linger Hard{1, 0};
      setsockopt(Each.Socket, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    }
    this->Sockets.erase(Each.Socket);
    ::close(Each.Socket);
  }
  Over.Dead = true;
}

void Relay::sweep() {
  std::erase_if(this->Pairs,
                [](const std::unique_ptr<Pair> &Each) { return Each->Dead; });
}

void Relay::takeOrders() {
  std::vector<LineOrder> Taken;
  {
    const std::lock_guard Lock(this->Shared);
    Taken.swap(this->Orders);
  }
  for (const LineOrder &Order : Taken) {
    this->carryOut(Order);
  }
}

void Relay::carryOut(const LineOrder &Order) {
  if (Order.Fault == LineFault::Cut) {
    for (const Route &Path : this->Routes) {
      if (Order.Group == "*" || Path.Group == Order.Group) {
        this->CutUntil[Path.Group] = nowMicros() + Order.ForMs * MicrosPerMilli;
      }
    }
    return;
  }
  for (const std::unique_ptr<Pair> &Each : this->Pairs) {
    if (Each->Dead ||
        (Order.Group != "*" && Each->Path->Group != Order.Group)) {
      continue;
    }
    if (Order.Fault == LineFault::Drop) {
      this->close(*Each, true);
    } else {
      Each->Silent = true;
    }
  }
}

bool Relay::isCut(const Route &Path) const {
  const auto Found = this->CutUntil.find(Path.Group);
  return Found != this->CutUntil.end() && Found->second > nowMicros();
}

void Relay::armTimer() {
  int64_t Due = INT64_MAX;
  for (const std::unique_ptr<Pair> &Each : this->Pairs) {
    if (Each->Silent) {
      continue;
    }
    int64_t Next = Each->ResetAtMicros > 0 ? Each->ResetAtMicros : INT64_MAX;
    for (const Side &Waiting : Each->Sides) {
      if (!Waiting.Blocked && !Waiting.Incoming.empty()) {
        Next = std::min(Next, Waiting.Incoming.front().DueMicros);
      }
    }
    const auto Cut = this->CutUntil.find(Each->Path->Group);
    if (Next < INT64_MAX && Cut != this->CutUntil.end()) {
      Next = std::max(Next, Cut->second);
    }
    Due = std::min(Due, Next);
  }
  itimerspec Spec{};
  if (Due < INT64_MAX) {
    const int64_t At = std::max<int64_t>(Due, 1);
    Spec.it_value.tv_sec = At / MicrosPerSecond;
    Spec.it_value.tv_nsec = At % MicrosPerSecond * NanosPerMicro;
  }
  timerfd_settime(this->Timer, TFD_TIMER_ABSTIME, &Spec, nullptr);
}

} // namespace camphornotch::standin
