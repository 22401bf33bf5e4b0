/// @file
/// Event loop: timers, posted callbacks and signals on top of h2o's loop.

#include "net/loop_base.h"

#include "base/clock_func.h"
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
struct DueTimer {
  Millis Deadline;
  /// Orders timers of equal deadline by their creation.
  uint64_t Id;

  auto operator<=>(const DueTimer &) const = default;
};

/// A callback posted from any thread.
struct PostedCall {
  /// h2o's part; must be first.
  h2o_multithread_message_t Super{};
  /// May be empty, to wake the loop only.
  Loop::Call Run;
};

/// The pipe's write end for the signal handler; -1: none.
std::atomic<int> SignalPipe{-1};

/// Signal handler that writes the signal's number into the pipe.
void onSignal(int Signal) {
  const char Byte = static_cast<char>(Signal);
  const int Saved = errno;
  // A failed write is ignored: a full pipe already wakes the loop.
  (void)!write(SignalPipe.load(), &Byte, 1);
  errno = Saved;
}

} // namespace

struct Loop::State {
  h2o_evloop_t *Raw = nullptr;
  /// Carries callbacks from other threads.
  h2o_multithread_queue_t *Queue = nullptr;
  /// Receives the posted callbacks; h2o keeps its address.
  h2o_multithread_receiver_t Receiver{};
  /// All timers by deadline, including cancelled ones.
  std::priority_queue<DueTimer, std::vector<DueTimer>, std::greater<>> Due;
  /// Callbacks of the timers that have neither run nor been cancelled.
  std::unordered_map<uint64_t, Call> Timers;
  /// The last id assigned.
  uint64_t LastTimer = 0;
  /// Callbacks for the next turn.
  std::vector<Call> Deferred;
  /// Handles SIGTERM and SIGINT.
  SignalCall OnStop;
  /// Handles SIGHUP: the settings have changed.
  SignalCall OnReload;
  h2o_socket_t *SignalSocket = nullptr;
  /// Makes run() return.
  std::atomic<bool> Stopped = false;
  /// The steady clock at the start of this turn.
  Millis Now;

  /// Runs the posted callbacks.
  /// @param Messages h2o's list of PostedCall.
  static void onMessages(h2o_multithread_receiver_t *,
                         h2o_linklist_t *Messages) {
    while (!h2o_linklist_is_empty(Messages)) {
      auto *Link = Messages->next;
      h2o_linklist_unlink(Link);
      // The link is the first member of Super, the first member of PostedCall.
      const std::unique_ptr<PostedCall> Message(
          reinterpret_cast<PostedCall *>(Link));
      if (Message->Run)
        Message->Run();
    }
  }

  /// Calls the handler of each signal received through the pipe.
  static void onSignalByte(h2o_socket_t *Socket, const char *) {
    const auto *Self = static_cast<State *>(Socket->data);
    const std::string Bytes(Socket->input->bytes, Socket->input->size);
    h2o_buffer_consume(&Socket->input, Socket->input->size);
    for (const char Byte : Bytes) {
      const SignalCall &Run = Byte == SIGHUP ? Self->OnReload : Self->OnStop;
      if (Run)
        Run(Byte);
    }
  }

  /// Runs the timers whose deadline has passed.
  void runDue() {
    this->Now = steadyNow();
    const uint64_t Newest = this->LastTimer;
    std::vector<DueTimer> Later;
    while (!this->Due.empty() && this->Due.top().Deadline <= this->Now) {
      const DueTimer Next = this->Due.top();
      this->Due.pop();
      if (Next.Id > Newest) {
        // Added by a callback of this turn: handle socket events first.
        Later.push_back(Next);
        continue;
      }
      const auto Found = this->Timers.find(Next.Id);
      if (Found == this->Timers.end())
        continue;
      const Call Run = std::move(Found->second);
      this->Timers.erase(Found);
      Run();
    }
    for (const DueTimer &Timer : Later)
      this->Due.push(Timer);
  }

  /// Runs the callbacks deferred so far.
  void runDeferred() {
    std::vector<Call> Calls;
    Calls.swap(this->Deferred);
    for (const Call &Run : Calls)
      Run();
  }

  /// Drops cancelled timers from the top of the heap.
  void dropCancelled() {
    while (!this->Due.empty() && !this->Timers.contains(this->Due.top().Id))
      this->Due.pop();
  }

  /// @return how long to wait for events, at most MaxWait.
  Millis waitTime(Millis MaxWait) {
    if (!this->Deferred.empty() || this->Stopped)
      return Millis{0};
    this->dropCancelled();
    if (this->Due.empty())
      return MaxWait;
    const Millis Left = this->Due.top().Deadline - steadyNow();
    return std::clamp(Left, Millis{0}, MaxWait);
  }
};

Loop::Loop() : Inner(std::make_unique<State>()) {
  this->Inner->Raw = h2o_evloop_create();
  this->Inner->Queue = h2o_multithread_create_queue(this->Inner->Raw);
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

TimerId Loop::callAt(Millis Deadline, Call Run) {
  const uint64_t Id = ++this->Inner->LastTimer;
  this->Inner->Timers.emplace(Id, std::move(Run));
  this->Inner->Due.push(DueTimer{Deadline, Id});
  return TimerId{Id};
}

TimerId Loop::callAfter(Millis Delay, Call Run) {
  return this->callAt(steadyNow() + Delay, std::move(Run));
}

void Loop::cancel(TimerId Timer) { this->Inner->Timers.erase(Timer.Value); }

void Loop::post(Call Run) {
  auto Message = std::make_unique<PostedCall>();
  Message->Run = std::move(Run);
  h2o_multithread_send_message(&this->Inner->Receiver,
                               &Message.release()->Super);
}

void Loop::defer(Call Run) { this->Inner->Deferred.push_back(std::move(Run)); }

void Loop::takeSignals(SignalCall Stop, SignalCall Reload) {
  int Ends[2] = {-1, -1};
  const int Status = pipe2(Ends, O_CLOEXEC | O_NONBLOCK);
  assert(Status == 0);
  (void)Status;
  this->Inner->OnStop = std::move(Stop);
  this->Inner->OnReload = std::move(Reload);
  this->Inner->SignalSocket =
      h2o_evloop_socket_create(this->Inner->Raw, Ends[0], 0);
  this->Inner->SignalSocket->data = this->Inner.get();
  h2o_socket_read_start(this->Inner->SignalSocket, State::onSignalByte);
  SignalPipe = Ends[1];
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
  h2o_timeout__do_post_callback(this->Inner->Raw);
  // The wait below does not notice completed writes that were started outside
  // of h2o's turn; without this extra turn, the replies to them would be read
  // only after the wait.
  h2o_evloop_run(this->Inner->Raw, 0);
  const Millis Wait = this->Inner->waitTime(MaxWait);
  h2o_evloop_run(this->Inner->Raw, static_cast<int32_t>(Wait.Count));
  this->Inner->runDue();
  this->Inner->runDeferred();
}

void Loop::stop() {
  this->Inner->Stopped = true;
  this->post(Call{});
}

st_h2o_evloop_t *Loop::raw() const { return this->Inner->Raw; }

st_h2o_multithread_queue_t *Loop::queue() const { return this->Inner->Queue; }

} // namespace camphornotch
