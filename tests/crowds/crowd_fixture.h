/// @file
/// A real gateway with limits, and crowds of plain connections to it.

#ifndef CAMPHORNOTCH_TESTS_CROWDS_CROWD_FIXTURE_H
#define CAMPHORNOTCH_TESTS_CROWDS_CROWD_FIXTURE_H

#include "tests/processes/process_fixture.h"

#include <algorithm>
#include <filesystem>
#include <functional>

namespace camphornotch {

constexpr size_t KiB = 1024;
constexpr size_t MiB = KiB * KiB;

/// What each connection of a crowd sends and reads.
struct CrowdScript {
  /// Sent first.
  std::string Head;
  /// Sent again and again after the head.
  std::string Pattern;
  /// How many bytes of repeated Pattern are sent.
  size_t PatternBytes = 0;
  /// The most bytes sent at one time.
  size_t Step = 256 * KiB;
  /// The most bytes read at one time; 0: it reads nothing.
  size_t ReadStep = 0;
  /// SO_RCVBUF of the connection; 0: the system's.
  int ReceiveBuffer = 0;
};

/// One connection of a crowd; it stays open until the fixture's end.
class CrowdMember {
public:
  CrowdMember(uint16_t Port, const CrowdScript &Script)
      : Script(Script), Fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (Script.ReceiveBuffer > 0)
      setsockopt(this->Fd, SOL_SOCKET, SO_RCVBUF, &Script.ReceiveBuffer,
                 sizeof(Script.ReceiveBuffer));
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->Closed = connect(this->Fd, reinterpret_cast<sockaddr *>(&Address),
                           sizeof(Address)) != 0;
  }
  ~CrowdMember() { close(this->Fd); }
  CrowdMember(const CrowdMember &) = delete;
  CrowdMember &operator=(const CrowdMember &) = delete;

  /// Sends and reads what is possible without waiting.
  /// @return whether any byte was sent.
  bool pump() {
    if (this->Closed)
      return false;
    std::vector<char> Input(this->Script.ReadStep);
    if (!Input.empty())
      (void)!recv(this->Fd, Input.data(), Input.size(), MSG_DONTWAIT);
    const std::string_view Next = this->next();
    if (Next.empty())
      return false;
    const ssize_t Count =
        ::send(this->Fd, Next.data(), Next.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count > 0)
      this->Sent += static_cast<size_t>(Count);
    this->Closed = Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
    return Count > 0;
  }

private:
  /// @return the bytes to send next.
  std::string_view next() const {
    const CrowdScript &From = this->Script;
    if (this->Sent < From.Head.size())
      return std::string_view(From.Head).substr(this->Sent, From.Step);
    const size_t Done = this->Sent - From.Head.size();
    if (Done >= From.PatternBytes)
      return {};
    return std::string_view(From.Pattern)
        .substr(Done % From.Pattern.size(),
                std::min(From.Step, From.PatternBytes - Done));
  }

  const CrowdScript &Script;
  int Fd;
  size_t Sent = 0;
  bool Closed = false;
};

/// The limits of one test.
struct CrowdLimits {
  int MemoryMb = 48;
  int FileDescriptors = 256;
  size_t BodyBytes = MiB;
};

/// A gateway with limits, an engine and one crowd.
struct CrowdFixture {
  static constexpr size_t BigAnswerBytes = 3 * MiB;
  static constexpr int StreamEvents = 64;

  explicit CrowdFixture(CrowdLimits Limits = {})
      : Limits(Limits), Net(1, configText(Limits), settingsText(Limits)) {
    auto Made = HttpServer::listen(
        this->Net.Events, HttpServerConfig{.MaxBodyBytes = 64 * MiB},
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          this->answer(Exchange);
        });
    this->Engine = std::move(Made.value());
    this->Net.Store.put("keyed.servers", "i-1",
                        R"({"service":"s","slots":64,"state":"ready",)"
                        R"("zone":"dc","born":1,"address":"127.0.0.1:)" +
                            std::to_string(this->Engine->port()) + R"("})");
    cr_assert(turnUntil(this->Net.Events, [&] {
      return this->Net.ask(0, "/a/small").Status == 200;
    }));
  }

  /// Connects a crowd and runs it until it has sent nothing for a while.
  void run(int Count, const CrowdScript &Given) {
    this->Script = Given;
    for (int Index = 0; Index < Count; ++Index)
      this->Crowd.push_back(
          std::make_unique<CrowdMember>(this->Port, this->Script));
    constexpr Millis QuietFor{700};
    Millis LastProgress = steadyNow();
    while (steadyNow() - LastProgress < QuietFor) {
      for (const auto &Member : this->Crowd)
        if (Member->pump())
          LastProgress = steadyNow();
      this->Net.Events.runOnce(Millis{1});
    }
  }

  /// @return a value of /proc/PID/status in bytes.
  size_t status(const std::string &Name) const {
    return processStatus(this->pid(), Name);
  }

  size_t descriptors() const {
    size_t Count = 0;
    for ([[maybe_unused]] const auto &Entry :
         std::filesystem::directory_iterator(
             "/proc/" + std::to_string(this->pid()) + "/fd"))
      ++Count;
    return Count;
  }

  /// Checks that the process lives within its limits, and that an ordinary
  /// request is answered while the crowd's connections are still open.
  void checkLimits() {
    const size_t Budget = static_cast<size_t>(this->Limits.MemoryMb) * 1000'000;
    cr_assert_eq(waitpid(this->pid(), nullptr, WNOHANG), 0,
                 "the process has ended");
    const size_t Highest = this->status("VmHWM");
    const size_t Now = this->status("VmRSS");
    const size_t Open = this->descriptors();
    cr_log_info("VmHWM %zu, VmRSS %zu, budget %zu, descriptors %zu of %d",
                Highest, Now, Budget, Open, this->Limits.FileDescriptors);
    cr_expect_leq(Highest, Budget, "VmHWM %zu is over the budget %zu", Highest,
                  Budget);
    cr_expect_leq(Now, Budget, "VmRSS %zu is over the budget %zu", Now, Budget);
    cr_expect_leq(Open, static_cast<size_t>(this->Limits.FileDescriptors),
                  "%zu descriptors are open", Open);
    const int Status = this->Net.ask(0, "/a/small").Status;
    cr_expect_eq(Status, 200, "an ordinary request got status %d", Status);
  }

  /// @return the head of a POST request.
  static std::string postHead(const std::string &Framing) {
    return "POST /a/small HTTP/1.1\r\nhost: h\r\n"
           "x-camphornotch-request-id: crowd\r\n" +
           Framing + "\r\n\r\n";
  }

  static std::string getText(const std::string &Path) {
    return "GET " + Path +
           " HTTP/1.1\r\nhost: h\r\nx-camphornotch-request-id: crowd\r\n\r\n";
  }

  /// @return one chunk of a chunked body.
  static std::string chunk(size_t Bytes) {
    char Size[32];
    snprintf(Size, sizeof(Size), "%zx\r\n", Bytes);
    return Size + std::string(Bytes, 'x') + "\r\n";
  }

  CrowdLimits Limits;
  ProcessFixture Net;
  std::unique_ptr<HttpServer> Engine;
  /// The port that the crowd connects to.
  uint16_t Port = this->Net.Gateways[0]->front().Port;
  CrowdScript Script;
  std::vector<std::unique_ptr<CrowdMember>> Crowd;
  /// Size of the last request body that reached the engine.
  size_t EngineBodyBytes = 0;

private:
  pid_t pid() const { return this->Net.Gateways[0]->pid(); }

  static std::string settingsText(const CrowdLimits &Limits) {
    return "[limits]\nmemory_mb = " + std::to_string(Limits.MemoryMb) +
           "\nfile_descriptors = " + std::to_string(Limits.FileDescriptors) +
           "\n";
  }

  static std::string configText(const CrowdLimits &Limits) {
    return R"({"version":1,"routes":[
      {"name":"a","host":"h","path_prefix":"/a/","kind":"safe","service":"s",
       "timeout_ms":5000,"attempts":2},
      {"name":"s","host":"h","path_prefix":"/s/","kind":"streaming",
       "service":"s","timeout_ms":60000,"attempts":2}],
     "services":[{"name":"s"}],"limits":{"header_bytes":16384,
       "header_timeout_ms":1000,"idle_timeout_ms":30000,"body_bytes":)" +
           std::to_string(Limits.BodyBytes) + "}}";
  }

  void answer(const std::shared_ptr<HttpExchange> &Exchange) {
    const HttpRequest &Request = Exchange->request();
    this->EngineBodyBytes = Request.Body.size();
    HttpResponse Head;
    const std::string Id(
        findHeader(Request.Headers, "x-camphornotch-request-id"));
    Head.Headers = {{"X-Camphornotch-Request-Id", Id},
                    {"X-Camphornotch-Response-Signature", "receipt-" + Id}};
    if (Request.Path.starts_with("/s/")) {
      Head.ContentType = "text/event-stream";
      Exchange->start(Head);
      const std::string Data(128 * KiB, 'x');
      for (int Event = 1; Event <= StreamEvents; ++Event)
        Exchange->write("id: " + std::to_string(Event) + "\ndata: " + Data +
                        "\n\n");
      Exchange->finish();
      return;
    }
    if (Request.Path.ends_with("/big"))
      Head.Body = std::string(BigAnswerBytes, 'x');
    Exchange->answer(Head);
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_CROWDS_CROWD_FIXTURE_H
