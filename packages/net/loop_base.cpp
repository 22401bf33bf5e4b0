/// @file
/// Event loop: timers, posted callbacks and signals on top of h2o's loop.

#include "net/loop_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "net/h2o_internal.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <csignal>
#include <fcntl.h>
#include <queue>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphornotch {

namespace {

/// Limit on the wait for events in run().
constexpr Millis MaxIdleWait = seconds(1);

/// A timer in the heap.
struct TimerEntry {
  Millis Deadline;
  /// Orders timers of equal deadline by their creation.
  uint64_t Id;

  auto operator<=>(const TimerEntry &) const = default;
};

/// A callback posted from any thread.
struct PostedCallback {
  /// h2o's part; must be first.
  h2o_multithread_message_t Super{};
  /// May be empty, to wake the loop only.
  Loop::Callback Handler;
};

/// The pipe's write end for the signal handler; -1: none.
std::atomic<int> SignalPipe{-1};

/// Signal handler that writes the signal's number into the pipe.
void onSignal(int Signal) {
  const char Byte = static_cast<char>(Signal);
  const int SavedErrno = errno;
  // A failed write is ignored: a full pipe already wakes the loop.
  (void)!write(SignalPipe.load(), &Byte, 1);
  errno = SavedErrno;
}

} // namespace

struct Loop::State {
  h2o_evloop_t *H2oLoop = nullptr;
  /// Carries callbacks from other threads.
  h2o_multithread_queue_t *Queue = nullptr;
  /// Receives the posted callbacks; h2o keeps its address.
  h2o_multithread_receiver_t Receiver{};
  /// All timers by deadline, including cancelled ones.
  std::priority_queue<TimerEntry, std::vector<TimerEntry>, std::greater<>>
      TimerHeap;
  /// Callbacks of the timers that have neither run nor been cancelled.
  std::unordered_map<uint64_t, Callback> Timers;
  /// The last id assigned.
  uint64_t LastTimer = 0;
  /// Callbacks for the next turn.
  std::vector<Callback> Deferred;
  /// Handles SIGTERM and SIGINT.
  SignalHandler OnStop;
  /// Handles SIGHUP: the settings have changed.
  SignalHandler OnReload;
  h2o_socket_t *SignalSocket = nullptr;
  /// Makes run() return.
  std::atomic<bool> Stopped = false;
  /// The steady clock at the start of this turn.
  Millis Now;

  /// Runs the posted callbacks.
  /// @param Messages h2o's list of PostedCallback.
  static void onMessages(h2o_multithread_receiver_t *,
                         h2o_linklist_t *Messages) {
    while (!h2o_linklist_is_empty(Messages)) {
      auto *Link = Messages->next;
      h2o_linklist_unlink(Link);
      // The link is the first member of Super, the first member of
      // PostedCallback.
      const std::unique_ptr<PostedCallback> Message(
          reinterpret_cast<PostedCallback *>(Link));
      if (Message->Handler)
        Message->Handler();
    }
  }

  /// Calls the handler of each signal received through the pipe.
  static void onSignalByte(h2o_socket_t *Socket, const char *) {
    const auto *Self = static_cast<State *>(Socket->data);
    const std::string Bytes(Socket->input->bytes, Socket->input->size);
    h2o_buffer_consume(&Socket->input, Socket->input->size);
    for (const char Byte : Bytes) {
      const SignalHandler &Handler =
          Byte == SIGHUP ? Self->OnReload : Self->OnStop;
      if (Handler)
        Handler(Byte);
    }
  }

  /// Runs the timers whose deadline has passed.
  void runTimers() {
    this->Now = steadyNow();
    const uint64_t NewestAtStart = this->LastTimer;
    std::vector<TimerEntry> Postponed;
    while (!this->TimerHeap.empty() &&
           this->TimerHeap.top().Deadline <= this->Now) {
      const TimerEntry Next = this->TimerHeap.top();
      this->TimerHeap.pop();
      if (Next.Id > NewestAtStart) {
        // Added by a callback of this turn: handle socket events first.
        Postponed.push_back(Next);
        continue;
      }
      const auto Found = this->Timers.find(Next.Id);
      if (Found == this->Timers.end())
        continue;
      const Callback Handler = std::move(Found->second);
      this->Timers.erase(Found);
      Handler();
    }
    for (const TimerEntry &Timer : Postponed)
      this->TimerHeap.push(Timer);
  }

  /// Runs the callbacks deferred so far.
  void runDeferred() {
    std::vector<Callback> Callbacks;
    Callbacks.swap(this->Deferred);
    for (const Callback &Handler : Callbacks)
      Handler();
  }

  /// Drops cancelled timers from the top of the heap.
  void dropCancelled() {
    while (!this->TimerHeap.empty() &&
           !this->Timers.contains(this->TimerHeap.top().Id))
      this->TimerHeap.pop();
  }

  /// @return how long to wait for events, at most MaxWait.
  Millis waitTime(Millis MaxWait) {
    if (!this->Deferred.empty() || this->Stopped)
      return Millis{0};
    this->dropCancelled();
    if (this->TimerHeap.empty())
      return MaxWait;
    const Millis Remaining = this->TimerHeap.top().Deadline - steadyNow();
    return std::clamp(Remaining, Millis{0}, MaxWait);
  }
};

Loop::Loop() : Inner(std::make_unique<State>()) {
  this->Inner->H2oLoop = h2o_evloop_create();
  this->Inner->Queue = h2o_multithread_create_queue(this->Inner->H2oLoop);
  h2o_multithread_register_receiver(this->Inner->Queue, &this->Inner->Receiver,
                                    State::onMessages);
  this->Inner->Now = steadyNow();
}

Loop::~Loop() {
  if (this->Inner->SignalSocket != nullptr)
    h2o_socket_close(this->Inner->SignalSocket);
  // Loop and queue are leaked because h2o 2.2.5 does not destroy them
  // completely. A process ends with its loop, and each test has its own
  // process.
}

Millis Loop::now() const { return this->Inner->Now; }

TimerId Loop::callAt(Millis Deadline, Callback Handler) {
  const uint64_t Id = ++this->Inner->LastTimer;
  this->Inner->Timers.emplace(Id, std::move(Handler));
  this->Inner->TimerHeap.push(TimerEntry{Deadline, Id});
  return TimerId{Id};
}

TimerId Loop::callAfter(Millis Delay, Callback Handler) {
  return this->callAt(steadyNow() + Delay, std::move(Handler));
}

void Loop::cancel(TimerId Timer) { this->Inner->Timers.erase(Timer.Value); }

void Loop::post(Callback Handler) {
  auto Message = std::make_unique<PostedCallback>();
  Message->Handler = std::move(Handler);
  h2o_multithread_send_message(&this->Inner->Receiver,
                               &Message.release()->Super);
}

void Loop::defer(Callback Handler) {
  this->Inner->Deferred.push_back(std::move(Handler));
}

void Loop::handleSignals(SignalHandler Stop, SignalHandler Reload) {
  int PipeEnds[2] = {-1, -1};
  const int Status = pipe2(PipeEnds, O_CLOEXEC | O_NONBLOCK);
  assert(Status == 0);
  (void)Status;
  this->Inner->OnStop = std::move(Stop);
  this->Inner->OnReload = std::move(Reload);
  this->Inner->SignalSocket =
      h2o_evloop_socket_create(this->Inner->H2oLoop, PipeEnds[0], 0);
  this->Inner->SignalSocket->data = this->Inner.get();
  h2o_socket_read_start(this->Inner->SignalSocket, State::onSignalByte);
  SignalPipe = PipeEnds[1];
  struct sigaction Action = {};
  Action.sa_handler = onSignal;
  Action.sa_flags = SA_RESTART;
  sigaction(SIGTERM, &Action, nullptr);
  sigaction(SIGINT, &Action, nullptr);
  sigaction(SIGHUP, &Action, nullptr);
  Action.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &Action, nullptr);
}

void Loop::run() {
  while (!this->Inner->Stopped)
    this->runOnce(MaxIdleWait);
}

void Loop::runOnce(Millis MaxWait) {
  // Timers and deferred callbacks run outside of h2o's turn. If they write to a
  // socket and close it, it must leave h2o's list of pending sockets before the
  // next turn, which begins by freeing closed sockets.
  h2o_timeout__do_post_callback(this->Inner->H2oLoop);
  // The wait below does not notice completed writes that were started outside
  // of h2o's turn; without this extra turn, the replies to them would be read
  // only after the wait.
  h2o_evloop_run(this->Inner->H2oLoop, 0);
  const Millis Wait = this->Inner->waitTime(MaxWait);
  h2o_evloop_run(this->Inner->H2oLoop, static_cast<int32_t>(Wait.Count));
  this->Inner->runTimers();
  this->Inner->runDeferred();
  flushLog();
}

void Loop::stop() {
  this->Inner->Stopped = true;
  this->post(Callback{});
}

st_h2o_evloop_t *Loop::h2oLoop() const { return this->Inner->H2oLoop; }

st_h2o_multithread_queue_t *Loop::queue() const { return this->Inner->Queue; }

} // namespace camphornotch
