/// @file
/// Gateways as real processes, with the store and engines in the test.

#ifndef CAMPHORNOTCH_TESTS_PROCESSES_PROCESS_FIXTURE_H
#define CAMPHORNOTCH_TESTS_PROCESSES_PROCESS_FIXTURE_H

#include "standins/store/store_server.h"
#include "tests/gateway_tasks/gateway_fixture.h"

#include <criterion/criterion.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <netinet/in.h>
#include <random>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace camphornotch {

/// @return a port of the loopback address that no other socket uses. It is
/// below
///   those that the kernel assigns: one of these could be assigned to another
///   socket before the gateway listens.
inline uint16_t freePort() {
  constexpr int First = 12'000;
  constexpr int Count = 20'000;
  // Processes of tests that run at the same time begin at different ports.
  static int Tried = static_cast<int>(std::random_device()() % Count);
  for (int Attempt = 0; Attempt < Count; ++Attempt) {
    const auto Port = static_cast<uint16_t>(First + ++Tried % Count);
    const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool IsFree =
        bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0;
    close(Fd);
    if (IsFree)
      return Port;
  }
  cr_assert_fail("no free port");
  return 0;
}

/// @param Name a field of /proc/PID/status that has the unit kB.
/// @return its value in bytes; 0: there is none.
inline size_t processStatus(pid_t Pid, const std::string &Name) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  constexpr size_t UnitBytes = 1024;
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Name + ":"))
      return std::stoul(Line.substr(Name.size() + 1)) * UnitBytes;
  return 0;
}

/// One camphornotchd with the role gateway; killed at the fixture's end.
class GatewayProcess {
public:
  /// @param Store the stand-in of the store.
  /// @param Extra further lines of the settings.
  /// @param GraceSeconds the time that it has after SIGTERM.
  GatewayProcess(const HttpTarget &Store, const std::string &Name,
                 const std::string &Extra = "", int GraceSeconds = 8)
      : Front{"127.0.0.1", freePort()}, Probes{"127.0.0.1", freePort()},
        Peers{"127.0.0.1", freePort()}, Links{"127.0.0.1", freePort()} {
    std::string Folder = "/tmp/camphornotch-test-XXXXXX";
    if (mkdtemp(Folder.data()) == nullptr)
      return;
    this->Folder = Folder;
    std::ofstream(this->settingsPath())
        << "[process]\nrole = gateway\nhost = " << Name
        << "\ndata_centre = dc\nregion = r\n[listen]\nlinks = 127.0.0.1:"
        << this->Links.Port << "\nhttp = 127.0.0.1:" << this->Probes.Port
        << "\npeers = 127.0.0.1:" << this->Peers.Port
        << "\n[gateway]\nfront = 127.0.0.1:" << this->Front.Port
        << "\nstore = 127.0.0.1:" << Store.Port
        << "\nregions = dc=r\ngrace_s = " << GraceSeconds
        << "\npartitions = 2\nrecord_bytes = 262144\n"
        << Extra;
    const std::string Log = this->Folder + "/log";
    const std::string Path = this->settingsPath();
    this->Pid = fork();
    if (this->Pid != 0)
      return;
    // A failed assertion skips destructors; the process ends with the test.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr mode_t LogMode = 0600;
    const int Output = open(Log.c_str(), O_WRONLY | O_CREAT, LogMode);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    // Another build can be measured with the same tests.
    const char *Other = getenv("CAMPHORNOTCH_OTHER_DAEMON");
    const char *Daemon = Other == nullptr ? CAMPHORNOTCH_DAEMON : Other;
    execl(Daemon, Daemon, "--config", Path.c_str(), nullptr);
    _exit(1);
  }
  ~GatewayProcess() {
    if (this->Pid > 0) {
      kill(this->Pid, SIGKILL);
      waitpid(this->Pid, nullptr, 0);
    }
    unlink((this->Folder + "/log").c_str());
    unlink(this->settingsPath().c_str());
    rmdir(this->Folder.c_str());
  }
  GatewayProcess(const GatewayProcess &) = delete;
  GatewayProcess &operator=(const GatewayProcess &) = delete;

  /// @return the address for callers.
  const HttpTarget &front() const { return this->Front; }
  /// @return the address for readiness probes.
  const HttpTarget &probes() const { return this->Probes; }
  /// @return the address for other gateways.
  const HttpTarget &peers() const { return this->Peers; }
  /// @return the address for links of other processes.
  const HttpTarget &links() const { return this->Links; }
  pid_t pid() const { return this->Pid; }

  /// @return whether the process has ended.
  bool ended() {
    if (this->Pid > 0 && waitpid(this->Pid, nullptr, WNOHANG) == this->Pid)
      this->Pid = 0;
    return this->Pid == 0;
  }

private:
  std::string settingsPath() const { return this->Folder + "/gateway.ini"; }

  HttpTarget Front;
  HttpTarget Probes;
  HttpTarget Peers;
  HttpTarget Links;
  std::string Folder;
  pid_t Pid = 0;
};

/// Gateways before one store; engines are added by the test.
struct ProcessFixture {
  Loop Events;
  standin::StandinStoreServer Store{this->Events, 2};
  std::vector<std::unique_ptr<GatewayProcess>> Gateways;
  HttpClient Caller{this->Events};
  /// Number of requests sent so far, for their ids.
  int Sent = 0;

  /// Starts the gateways and waits until they are ready.
  /// @param Config the configuration.
  /// @param Extra further lines of the settings of each gateway.
  /// @param GraceSeconds the time that each has after SIGTERM.
  ProcessFixture(int Count, const std::string &Config,
                 const std::string &Extra = "", int GraceSeconds = 8) {
    this->Store.put("keyed.op", "config", Config);
    for (int Index = 0; Index < Count; ++Index)
      this->Gateways.push_back(std::make_unique<GatewayProcess>(
          this->Store.target(), "gateway-" + std::to_string(Index), Extra,
          GraceSeconds));
    for (const auto &Gateway : this->Gateways)
      cr_assert(turnUntil(this->Events, [&] {
        HttpCall Call;
        Call.Target = Gateway->probes();
        Call.Path = "/-/readiness";
        Call.Timeout = Millis{200};
        return answerTo(this->Events, this->Caller, Call).Status == 200;
      }));
  }

  /// Registers an engine of service "s".
  void add(const std::string &Id, const FakeEngine &Engine,
           const std::string &DataCentre = "dc") {
    this->Store.put("keyed.servers", Id,
                    R"({"service":"s","slots":8,"state":"ready","zone":")" +
                        DataCentre +
                        R"(",)"
                        R"("born":1,"models":[{"name":"m","version":3}],)"
                        R"("address":"127.0.0.1:)" +
                        std::to_string(Engine.where().Port) + R"("})");
  }

  /// Sends a request with an id of its own to a gateway.
  /// @param At index of the gateway.
  /// @return the answer; status 0: none.
  HttpResponse ask(size_t At, const std::string &Path) {
    HttpCall Call;
    Call.Target = this->Gateways[At]->front();
    Call.Host = "h";
    Call.Path = Path;
    Call.Timeout = seconds(5);
    Call.Headers = {
        {"X-Camphornotch-Request-Id", "r" + std::to_string(++this->Sent)}};
    return answerTo(this->Events, this->Caller, std::move(Call));
  }

  /// Runs the loop for a time.
  void runFor(Millis Span) {
    const Millis End = steadyNow() + Span;
    turnUntil(this->Events, [&] { return steadyNow() >= End; });
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_PROCESSES_PROCESS_FIXTURE_H
