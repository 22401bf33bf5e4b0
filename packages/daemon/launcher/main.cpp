/// @file
/// Launcher of the daemon. It needs the C library only, so that it is at work
/// well before the daemon's libraries are loaded and initialized.

#include <climits>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/auxv.h>
#include <unistd.h>

namespace {

/// Exit code if the library cannot be loaded.
constexpr int LoadFailedExitCode = 1;

constexpr const char *LibraryName = "libcamphornotchd.so";

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

/// Loads the library from the folder of a program.
/// @param Program the program's path.
/// @return null if it is not there.
void *loadBeside(const char *Program) {
  const char *Slash = std::strrchr(Program, '/');
  if (Slash == nullptr)
    return nullptr;
  char Path[PATH_MAX] = {};
  const int Length =
      std::snprintf(Path, sizeof(Path), "%.*s/%s",
                    static_cast<int>(Slash - Program), Program, LibraryName);
  if (Length < 0 || static_cast<size_t>(Length) >= sizeof(Path))
    return nullptr;
  return dlopen(Path, RTLD_NOW);
}

/// Loads the library by the run path, which a host without /proc does not know,
/// otherwise from where the kernel or the command found the program.
void *loadLibrary(const char *Command) {
  if (void *Library = dlopen(LibraryName, RTLD_NOW))
    return Library;
  const auto *Program = reinterpret_cast<const char *>(getauxval(AT_EXECFN));
  if (Program != nullptr)
    if (void *Library = loadBeside(Program))
      return Library;
  return Command == nullptr ? nullptr : loadBeside(Command);
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
  void *Library = loadLibrary(Arguments[0]);
  void *Symbol =
      Library == nullptr ? nullptr : dlsym(Library, "camphornotchMain");
  if (Symbol == nullptr) {
    std::fprintf(stderr, "cannot load the daemon: %s\n", dlerror());
    return LoadFailedExitCode;
  }
  return reinterpret_cast<DaemonMain>(Symbol)(Count, Arguments);
}
