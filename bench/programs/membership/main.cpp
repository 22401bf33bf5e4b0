/// @file
/// Links, heartbeat bytes and processor time of membership, by fleet size.
///
/// Usage: bench_membership [ENTRIES AGENTS CENTRES]

#include "base/text_func.h"
#include "core/membership/membership_base.h"
#include "wire/codec_func.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <chrono>
#include <cstdio>

using namespace camphornotch;

namespace {

/// Bytes that TCP and IP add to a small message and its acknowledgement.
constexpr size_t PacketOverheadBytes = 80;
/// Heartbeats a second on each link and in each direction.
constexpr double BeatsPerSecond = 0.5;
/// How often each measured step is repeated.
constexpr int Rounds = 20;

/// @param Entries how many entries.
/// @param Agents how many agents.
/// @param Centres how many data centres they are spread over.
/// @return the host list.
std::vector<ListedHost> makeHosts(int Entries, int Agents, int Centres) {
  std::vector<ListedHost> Hosts(Entries + Agents);
  for (int Index = 0; Index < Entries + Agents; ++Index) {
    ListedHost &Host = Hosts[Index];
    Host.IsAgent = Index >= Entries;
    Host.Host = HostId{concat(Host.IsAgent ? "agent-" : "entry-", Index)};
    Host.DataCentre = DataCentreId{concat("dc", Index % Centres)};
    Host.LinkAddress = Address{"10.0.0.1", 7000};
  }
  return Hosts;
}

/// @param WithLoad whether it is an agent's, which carries a load figure.
/// @return the bytes of a heartbeat on the wire.
size_t beatBytes(bool WithLoad) {
  wire::Heartbeat Beat;
  Beat.Sequence = 100000;
  Beat.ConfigOffset = 10000000;
  Beat.ConfigHash = 1234567890123456789;
  Beat.EchoSequence = 100000;
  wire::LoadFigure Load;
  Load.Slots = 64;
  Load.Running = 64;
  Load.Queued = 200;
  Load.QueuedTokens = 500000;
  Load.TokenMicros = 6000;
  Load.ExpectedWaitMs = 30000;
  Load.Version = 100000;
  if (WithLoad)
    Beat.__set_Load(Load);
  wire::PeerMessage Message;
  Message.__set_HeartbeatMsg(Beat);
  return encodeFrame(Message).size() + PacketOverheadBytes;
}

/// @param Start when a step began.
/// @return microseconds since then.
double microsSince(std::chrono::steady_clock::time_point Start) {
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  return Took.count();
}

/// What one entry's membership costs.
struct EntryCost {
  int AgentLinks = 0;
  int EntryLinks = 0;
  double FirstListMicros = 0;
  double SameListMicros = 0;
  double EventMicros = 0;
};

/// @param Hosts the host list.
/// @param Self the entry.
/// @return what it costs there.
EntryCost measureEntry(const std::vector<ListedHost> &Hosts,
                       const ListedHost &Self) {
  MembershipController Members(MembershipSettings{Self.Host, Self.DataCentre});
  EntryCost Cost;
  auto Start = std::chrono::steady_clock::now();
  const auto Actions = Members.handle(HostsListed{Hosts}, Millis{0});
  Cost.FirstListMicros = microsSince(Start);
  for (const MembershipAction &Action : Actions) {
    const auto *Open = std::get_if<OpenLink>(&Action);
    if (Open == nullptr)
      continue;
    const bool IsAgent = Open->Host.Value.starts_with("agent-");
    ++(IsAgent ? Cost.AgentLinks : Cost.EntryLinks);
  }
  Start = std::chrono::steady_clock::now();
  for (int Round = 0; Round < Rounds; ++Round)
    Members.handle(HostsListed{Hosts}, Millis{Round});
  Cost.SameListMicros = microsSince(Start) / Rounds;
  Start = std::chrono::steady_clock::now();
  for (int Round = 0; Round < Rounds; ++Round)
    Members.handle(MemberUp{Hosts[Round % Hosts.size()].Host}, Millis{Round});
  Cost.EventMicros = microsSince(Start) / Rounds;
  return Cost;
}

/// Measures one size and prints a row.
/// @param Entries how many entries.
/// @param Agents how many agents.
/// @param Centres how many data centres.
void measureSize(int Entries, int Agents, int Centres) {
  const std::vector<ListedHost> Hosts = makeHosts(Entries, Agents, Centres);
  EntryCost Worst;
  const int Sampled = std::min(Entries, 10);
  for (int Index = 0; Index < Sampled; ++Index) {
    const EntryCost Cost = measureEntry(Hosts, Hosts[Index]);
    Worst.AgentLinks = std::max(Worst.AgentLinks, Cost.AgentLinks);
    Worst.EntryLinks = std::max(Worst.EntryLinks, Cost.EntryLinks);
    Worst.FirstListMicros =
        std::max(Worst.FirstListMicros, Cost.FirstListMicros);
    Worst.SameListMicros = std::max(Worst.SameListMicros, Cost.SameListMicros);
    Worst.EventMicros = std::max(Worst.EventMicros, Cost.EventMicros);
  }
  const auto Plain = static_cast<double>(beatBytes(false));
  const auto Loaded = static_cast<double>(beatBytes(true));
  const double Bytes = BeatsPerSecond * (Worst.AgentLinks * (Plain + Loaded) +
                                         Worst.EntryLinks * 2 * Plain);
  std::printf("%7d %7d %7d %11d %11d %12.0f %14.0f %13.0f %11.2f\n", Entries,
              Agents, Centres, Worst.AgentLinks, Worst.EntryLinks, Bytes,
              Worst.FirstListMicros, Worst.SameListMicros, Worst.EventMicros);
}

} // namespace

/// Runs the measurement.
/// @param Count the number of arguments.
/// @param Arguments the arguments.
/// @return the exit code.
int main(int Count, char **Arguments) {
  std::printf("beat_bytes=%zu beat_with_load_bytes=%zu (with %zu of TCP/IP)\n",
              beatBytes(false), beatBytes(true), PacketOverheadBytes);
  std::printf("%7s %7s %7s %11s %11s %12s %14s %13s %11s\n", "entries",
              "agents", "centres", "agent_links", "entry_links", "beat_bytes/s",
              "first_list_us", "same_list_us", "event_us");
  int Sizes[3] = {0, 0, 0};
  for (int Index = 0; Index < 3 && Index + 1 < Count; ++Index)
    if (!absl::SimpleAtoi(Arguments[Index + 1], &Sizes[Index]))
      return 1;
  if (Sizes[0] > 0 && Sizes[2] > 0) {
    measureSize(Sizes[0], Sizes[1], Sizes[2]);
    return 0;
  }
  measureSize(3, 13, 3);
  measureSize(20, 200, 3);
  measureSize(88, 1250, 14);
  measureSize(175, 2500, 14);
  measureSize(350, 5000, 14);
  return 0;
}
