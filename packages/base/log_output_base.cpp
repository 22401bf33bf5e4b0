/// @file
/// Writes log lines to a descriptor without ever waiting for its reader.

#include "base/log_output_base.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace camphornotch {

LogOutput::LogOutput(int Fd, size_t MaxWaiting)
    : Fd(Fd), How(Kind::Polled), MaxWaiting(MaxWaiting) {
  struct stat Status = {};
  if (fstat(Fd, &Status) != 0 || S_ISREG(Status.st_mode))
    this->How = Kind::Plain;
  else if (S_ISSOCK(Status.st_mode))
    this->How = Kind::Socket;
}

void LogOutput::write(std::string_view Line) {
  this->flush();
  if (this->waiting() + Line.size() > this->MaxWaiting) {
    ++this->Dropped;
    return;
  }
  this->Waiting += Line;
  this->flush();
}

void LogOutput::flush() {
  while (this->waiting() > 0) {
    const ssize_t Count = this->writePiece();
    if (Count == 0)
      break;
    if (Count < 0) {
      this->Dropped += std::count(this->Waiting.begin() +
                                      static_cast<ptrdiff_t>(this->Written),
                                  this->Waiting.end(), '\n');
      this->Written = this->Waiting.size();
      break;
    }
    this->Written += static_cast<size_t>(Count);
  }
  if (this->waiting() == 0 || this->Written > this->MaxWaiting / 2) {
    this->Waiting.erase(0, this->Written);
    this->Written = 0;
  }
}

ssize_t LogOutput::writePiece() {
  const char *Begin = this->Waiting.data() + this->Written;
  ssize_t Count = 0;
  if (this->How == Kind::Socket) {
    Count = send(this->Fd, Begin, this->waiting(), MSG_DONTWAIT | MSG_NOSIGNAL);
  } else {
    // The descriptor may be shared with other processes, so that O_NONBLOCK is
    // not ours to set. A pipe that polls as writable takes PIPE_BUF bytes.
    pollfd Poll = {this->Fd, POLLOUT, 0};
    const bool Polled = this->How == Kind::Polled;
    if (Polled && poll(&Poll, 1, 0) <= 0)
      return 0;
    const size_t Size =
        Polled ? std::min<size_t>(this->waiting(), PIPE_BUF) : this->waiting();
    Count = ::write(this->Fd, Begin, Size);
  }
  if (Count >= 0)
    return Count;
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? 0 : -1;
}

} // namespace camphornotch
