/// @file
/// A real gateway before an endpoint that sends bytes without end, or stops
/// just short of a limit, on many calls at once. The bound is the memory that
/// its settings allow it.

#include "base/text_func.h"
#include "tests/net/scripted_server.h"
#include "tests/processes/process_fixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace camphornotch;

namespace {

constexpr size_t KiB = 1024;
constexpr size_t MiB = 1024 * KiB;

/// A configuration with a service whose endpoint is faulty, and a sound one.
constexpr const char *ConfigText = R"({"version":1,"routes":[
  {"name":"a","host":"h","path_prefix":"/a/","kind":"safe","service":"s",
   "timeout_ms":60000,"attempts":1},
  {"name":"s","host":"h","path_prefix":"/s/","kind":"streaming","service":"s",
   "timeout_ms":60000,"attempts":1},
  {"name":"t","host":"h","path_prefix":"/t/","kind":"safe","service":"t",
   "timeout_ms":5000,"attempts":1}],
 "services":[{"name":"s"},{"name":"t"}],"limits":{}})";

/// What the endpoint sends on each connection.
struct FaultyAnswer {
  /// Status line and header lines after those of a usable answer.
  std::string Head;
  /// Sent again and again after the head.
  std::string Piece;
  /// How many bytes of repeated Piece are sent.
  size_t PieceBytes = 0;
};

/// A gateway, its endpoints and calls that wait for the faulty one.
struct FaultyEndpoint {
  /// Calls at the same time: as many as two large endpoints take.
  static constexpr size_t Calls = 256;
  /// Memory of the smallest host that callers reach.
  static constexpr size_t MemoryMb = 280;

  ProcessFixture Net{1, ConfigText,
                     concat("[limits]\nmemory_mb = ", MemoryMb,
                            "\nfile_descriptors = 8200\n")};
  ScriptedServer Faulty;
  FakeEngine Sound{this->Net.Events};
  std::vector<std::unique_ptr<PlainSocket>> Callers;

  FaultyEndpoint() {
    this->put("i-1", "s", this->Faulty.target().Port);
    this->put("i-2", "t", this->Sound.where().Port);
    cr_assert(turnUntil(this->Net.Events, [this] { return this->serves(); }));
  }

  /// Registers an endpoint.
  void put(const std::string &Id, const char *Service, uint16_t Port) {
    this->Net.Store.put(
        "keyed.servers", Id,
        concat(R"({"service":")", Service,
               R"(","slots":256,"state":"ready","zone":"dc","born":1,)",
               R"("address":"127.0.0.1:)", Port, R"("})"));
  }

  /// @return whether a request to the sound endpoint is answered.
  bool serves() { return this->Net.ask(0, "/t/x").Status == 200; }

  /// Sends all calls; the endpoint answers each until nothing more is taken.
  /// @param Path the path of each call, which selects its kind.
  void run(const std::string &Path, const FaultyAnswer &Answer) {
    for (size_t Index = 0; Index < Calls; ++Index) {
      this->Callers.push_back(
          std::make_unique<PlainSocket>(this->Net.Gateways[0]->front().Port));
      this->Callers.back()->send(
          concat("GET ", Path, " HTTP/1.1\r\nhost: h\r\n",
                 "x-camphornotch-request-id: c\r\n\r\n"));
      // Accepts, so that the listener's queue does not overflow.
      this->Net.Events.runOnce(Millis{1});
      this->Faulty.poll();
    }
    constexpr Millis QuietFor{700};
    Millis LastProgress = steadyNow();
    std::vector<size_t> Sent;
    while (steadyNow() - LastProgress < QuietFor) {
      Sent.resize(this->Faulty.poll(), 0);
      for (size_t Index = 0; Index < Sent.size(); ++Index)
        if (this->sendPart(Index, Answer, Sent[Index]))
          LastProgress = steadyNow();
      this->Net.Events.runOnce(Millis{1});
    }
    // The gateway avoids the endpoint after the first failures.
    cr_expect_geq(Sent.size(), Calls / 4, "%zu calls reached the endpoint",
                  Sent.size());
  }

  /// Checks that the process lives within its limits and serves others.
  void checkLimits(const char *Name) {
    const pid_t Pid = this->Net.Gateways[0]->pid();
    cr_assert_eq(waitpid(Pid, nullptr, WNOHANG), 0, "the process has ended");
    const size_t Highest = processStatus(Pid, "VmHWM");
    cr_log_info("%s: VmHWM %zu", Name, Highest);
    cr_expect_leq(Highest, MemoryMb * 1'000'000, "%s: VmHWM %zu", Name,
                  Highest);
    cr_expect(this->serves(), "%s: other requests are not answered", Name);
  }

private:
  /// Sends the next bytes of an answer on a connection.
  /// @param Sent bytes sent so far.
  /// @return whether any was sent.
  bool sendPart(size_t Index, const FaultyAnswer &Answer, size_t &Sent) {
    if (!this->Faulty.hasRequests(Index, 1) || this->Faulty.closed(Index))
      return false;
    std::string_view Next;
    if (Sent < Answer.Head.size()) {
      Next = std::string_view(Answer.Head).substr(Sent);
    } else {
      const size_t Done = Sent - Answer.Head.size();
      Next = std::string_view(Answer.Piece)
                 .substr(Done % Answer.Piece.size(),
                         std::max(Answer.PieceBytes, Done) - Done);
    }
    const size_t Taken = this->Faulty.sendSome(Index, Next);
    Sent += Taken;
    return Taken > 0;
  }
};

/// Header lines of a usable answer to the calls.
const std::string AnswerLines = "x-camphornotch-request-id: c\r\n"
                                "x-camphornotch-response-signature: sig\r\n";

std::string repeated(const std::string &Text, size_t Bytes) {
  std::string All;
  while (All.size() < Bytes)
    All += Text;
  return All;
}

/// Runs an endpoint with one kind of answer before a fresh gateway.
void runFaulty(const char *Name, const std::string &Path,
               const FaultyAnswer &Answer) {
  FaultyEndpoint Run;
  Run.run(Path, Answer);
  Run.checkLimits(Name);
}

/// Far more than a gateway may keep of one answer.
constexpr size_t Endless = 16 * MiB;

} // namespace

Test(faultyEndpoint, headsWithoutEnd_staysWithinMemory, .timeout = 120) {
  const std::string Good = "HTTP/1.1 200 OK\r\n";
  const std::string Line(64 * KiB, 'x');
  const std::string LongLine = concat("a: ", std::string(400, 'x'), "\r\n");
  for (const char *Path : {"/a/x", "/s/x"}) {
    runFaulty("noise", Path, {"", Line, Endless});
    runFaulty("line", Path, {concat(Good, "a: "), Line, Endless});
    runFaulty("lines", Path, {Good, repeated("a:\r\n", 64 * KiB), Endless});
    // These stop just below the limit of a head's bytes.
    runFaulty("lines that stop", Path,
              {Good, repeated("a:\r\n", 64 * KiB), 79 * KiB});
    runFaulty("long lines that stop", Path,
              {Good, repeated(LongLine, 64 * KiB), 79 * KiB});
    runFaulty(
        "interim", Path,
        {"", repeated("HTTP/1.1 100 Continue\r\n\r\n", 64 * KiB), Endless});
  }
}

Test(faultyEndpoint, bodiesWithoutEnd_staysWithinMemory, .timeout = 120) {
  const std::string Block(64 * KiB, 'x');
  const std::string Chunk = concat("10000\r\n", Block, "\r\n");
  const std::string Long = "content-length: 99999999999\r\n\r\n";
  const std::string Chunked = "transfer-encoding: chunked\r\n\r\n";
  for (const char *Path : {"/a/x", "/s/x"})
    for (const char *Status : {"200 OK", "500 Oops"})
      for (const size_t Bytes : {Endless, 4 * MiB - 64 * KiB}) {
        const std::string Head =
            concat("HTTP/1.1 ", Status, "\r\n", AnswerLines);
        const std::string Name =
            concat(Path, " ", Status, " ", Bytes / KiB, " KiB");
        runFaulty(Name.c_str(), Path, {Head + Long, Block, Bytes});
        runFaulty(Name.c_str(), Path, {Head + Chunked, Chunk, Bytes});
        runFaulty(Name.c_str(), Path, {Head + "\r\n", Block, Bytes});
      }
}
