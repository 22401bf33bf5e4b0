/// @file
/// Tests of log lines whose reader is slow or gone.

#include "base/log_output_base.h"

#include <criterion/criterion.h>
#include <csignal>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace camphornotch;

namespace {

constexpr size_t MaxWaiting = size_t{64} << 10;

/// @return 100 bytes that begin with a number and end with a line feed.
std::string numberedLine(int Number) {
  std::string Line = std::to_string(Number);
  Line.resize(99, '.');
  return Line + '\n';
}

/// A pipe or a pair of sockets, and an output that writes to it.
struct OutputFixture {
  int Ends[2] = {-1, -1};
  int Lines = 0;

  explicit OutputFixture(bool Socket) {
    if (Socket)
      cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, this->Ends), 0);
    else
      cr_assert_eq(pipe(this->Ends), 0);
    std::signal(SIGPIPE, SIG_IGN);
  }

  /// Writes lines until some are dropped.
  void fill(LogOutput &Output) {
    while (Output.dropped() == 0)
      Output.write(numberedLine(this->Lines++));
  }

  /// @return what the reader gets now.
  std::string readAll() const {
    fcntl(this->Ends[0], F_SETFL, O_NONBLOCK);
    std::string Text(1 << 20, '\0');
    const ssize_t Count = read(this->Ends[0], Text.data(), Text.size());
    Text.resize(Count > 0 ? static_cast<size_t>(Count) : 0);
    return Text;
  }
};

/// Expects that what was not dropped arrives whole and in order once it is
/// read.
void expectWholeLines(bool Socket) {
  OutputFixture Net(Socket);
  LogOutput Output(Net.Ends[1], MaxWaiting);
  Net.fill(Output);
  std::string Text;
  for (std::string Part = Net.readAll(); !Part.empty(); Part = Net.readAll()) {
    Text += Part;
    Output.flush();
  }
  std::string Expected;
  for (int Number = 0; Number + 1 < Net.Lines; ++Number)
    Expected += numberedLine(Number);
  cr_expect(Text == Expected);
  cr_expect_eq(Output.waiting(), 0);
}

} // namespace

TestSuite(logOutput, .timeout = 20);

Test(logOutput, pipeThatNobodyReads_keepsWholeLinesAndDropsTheRest) {
  expectWholeLines(false);
}

Test(logOutput, socketThatNobodyReads_keepsWholeLinesAndDropsTheRest) {
  expectWholeLines(true);
}

Test(logOutput, readerOfThePipeGone_dropsTheLines) {
  OutputFixture Net(false);
  close(Net.Ends[0]);
  LogOutput Output(Net.Ends[1], MaxWaiting);
  for (int Number = 0; Number < 10; ++Number)
    Output.write(numberedLine(Number));
  cr_expect_eq(Output.dropped(), 10);
  cr_expect_eq(Output.waiting(), 0);
}
