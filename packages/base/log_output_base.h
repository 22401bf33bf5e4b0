/// @file
/// Writes log lines to a descriptor without ever waiting for its reader.

#ifndef CAMPHORNOTCH_BASE_LOG_OUTPUT_BASE_H
#define CAMPHORNOTCH_BASE_LOG_OUTPUT_BASE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphornotch {

/// Log lines on the way to a pipe, socket, terminal or file. Lines that the
/// reader does not take wait in memory; those beyond the limit are dropped
/// whole.
class LogOutput {
public:
  /// @param Fd the descriptor; it is not closed.
  /// @param MaxWaiting limit on the bytes that wait.
  LogOutput(int Fd, size_t MaxWaiting);

  /// Adds a line, with its line feed, and writes what can be written.
  void write(std::string_view Line);

  /// Writes what can be written without a wait.
  void flush();

  /// @return the number of bytes that wait.
  size_t waiting() const { return this->Waiting.size() - this->Written; }

  /// @return the number of lines dropped so far.
  int64_t dropped() const { return this->Dropped; }

private:
  /// How to write without a wait.
  enum class Kind { Plain, Polled, Socket };

  /// Writes one piece of the waiting bytes.
  /// @return the number of bytes written; 0: none now; -1: never again.
  ssize_t writePiece();

  int Fd;
  Kind How;
  size_t MaxWaiting;
  std::string Waiting;
  /// Bytes of Waiting that have been written.
  size_t Written = 0;
  int64_t Dropped = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_LOG_OUTPUT_BASE_H
