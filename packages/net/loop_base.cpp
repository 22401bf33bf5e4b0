/// @file
/// The event loop: a deadline heap and a message queue around h2o's loop.

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

/// Longest wait for events when nothing is due.
constexpr Millis MaxIdleWait = seconds(1);

/// One planned call, as the heap orders it.
struct DueTimer {
  /// When it is due.
  Millis Deadline;
  /// Its name; equal deadlines run in the order of their planning.
  uint64_t Id;

  /// Orders by deadline, then name.
  auto operator<=>(const DueTimer &) const = default;
};

/// A message posted from any thread.
struct PostedCall {
  /// h2o's part; must be first.
  h2o_multithread_message_t Super{};
  /// What to run; empty only wakes the loop.
  Loop::Call Run;
};

/// The write end of the pipe that the signal handler writes to; -1: none.
std::atomic<int> SignalPipe{-1};

/// Writes the signal's number into the pipe.
/// @param Signal the number.
void onSignal(int Signal) {
  const char Byte = static_cast<char>(Signal);
  const int Saved = errno;
  // A full pipe already holds a signal to be handled.
  (void)!write(SignalPipe.load(), &Byte, 1);
  errno = Saved;
}

} // namespace

/// The loop's state.
struct Loop::State {
  /// h2o's loop.
  h2o_evloop_t *Raw = nullptr;
  /// h2o's queue for messages of other threads.
  h2o_multithread_queue_t *Queue = nullptr;
  /// Takes the posted calls; must not move.
  h2o_multithread_receiver_t Receiver{};
  /// Planned calls in order, with cancelled ones still in.
  std::priority_queue<DueTimer, std::vector<DueTimer>, std::greater<>> Due;
  /// What each planned call runs; cancelled ones are absent.
  std::unordered_map<uint64_t, Call> Timers;
  /// The last timer name given out.
  uint64_t LastTimer = 0;
  /// Calls of this thread for the next turn.
  std::vector<Call> Deferred;
  /// Takes the signals that ask the process to end.
  SignalCall OnStop;
  /// Takes the signal that says that the settings have changed.
  SignalCall OnReload;
  /// The read end of the signal pipe.
  h2o_socket_t *SignalSocket = nullptr;
  /// Whether run() is to return.
  std::atomic<bool> Stopped = false;
  /// The clock at the start of this turn.
  Millis Now;

  /// Runs the posted calls.
  /// @param Messages h2o's list of them.
  static void onMessages(h2o_multithread_receiver_t *,
                         h2o_linklist_t *Messages) {
    while (!h2o_linklist_is_empty(Messages)) {
      auto *Link = Messages->next;
      h2o_linklist_unlink(Link);
      // The link is the first member of the first member.
      const std::unique_ptr<PostedCall> Message(
          reinterpret_cast<PostedCall *>(Link));
      if (Message->Run)
        Message->Run();
    }
  }

  /// Hands each signal that the pipe brought on.
  /// @param Socket the pipe's read end.
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

  /// Runs the calls that are due.
  void runDue() {
    this->Now = steadyNow();
    const uint64_t Newest = this->LastTimer;
    std::vector<DueTimer> Later;
    while (!this->Due.empty() && this->Due.top().Deadline <= this->Now) {
      const DueTimer Next = this->Due.top();
      this->Due.pop();
      if (Next.Id > Newest) {
        // Planned by a call of this turn: sockets get a turn first.
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

  /// Runs the deferred calls of the last turn.
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

  /// @param MaxWait the longest wait.
  /// @return how long to wait for events.
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
  // h2o 2.2.5's destroy of loop and queue is not complete; a process ends
  // with its loop, and tests run in a process each.
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
  // Our calls run outside of h2o's turn. A socket that they wrote to and then
  // closed must leave h2o's list of pending sockets before the next turn,
  // which begins by freeing closed sockets.
  h2o_timeout__do_post_callback(this->Inner->Raw);
  // Ends of writes that were started outside of the loop's turn are not seen
  // by its wait: without this turn their answers would be read only after it.
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
