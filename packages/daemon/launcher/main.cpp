/// @file
/// Launcher of the daemon. It needs the C library only, so that it is at work
/// well before the daemon's libraries are loaded and initialized.

#include <csignal>
#include <cstdio>
#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

namespace {

/// Exit code if the library cannot be loaded.
constexpr int LoadFailedExitCode = 1;

/// The type of camphornotchMain in daemon/daemon_main.h.
using DaemonMain = int (*)(int, char **);

/// Opens the standard descriptors that are closed. Otherwise the first sockets
/// would get their numbers, and log lines.
void openStandardDescriptors() {
  for (int Fd = open("/dev/null", O_RDWR); Fd >= 0; Fd = dup(Fd))
    if (Fd > STDERR_FILENO) {
      close(Fd);
      return;
    }
}

} // namespace

/// @param Count how many arguments.
/// @param Arguments the command line.
/// @return the exit code.
int main(int Count, char **Arguments) {
  // The settings are read later, so that a change until then is seen anyway.
  std::signal(SIGHUP, SIG_IGN);
  // The reader of the output may be gone before the first line.
  std::signal(SIGPIPE, SIG_IGN);
  openStandardDescriptors();
  void *Library = dlopen("libcamphornotchd.so", RTLD_NOW);
  void *Symbol =
      Library == nullptr ? nullptr : dlsym(Library, "camphornotchMain");
  if (Symbol == nullptr) {
    std::fprintf(stderr, "cannot load the daemon: %s\n", dlerror());
    return LoadFailedExitCode;
  }
  return reinterpret_cast<DaemonMain>(Symbol)(Count, Arguments);
}
