/// @file
/// Blocking calls to the log, the host list and the entries.

#ifndef CAMPHORNOTCH_CTL_PLATFORM_BASE_H
#define CAMPHORNOTCH_CTL_PLATFORM_BASE_H

#include "base/error_type.h"
#include "core/fold/log_fold_base.h"
#include "ctl/options_type.h"
#include "net/host_list_base.h"
#include "net/http_client_base.h"
#include "net/loop_base.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace camphornotch {

/// One record from the log, with its offset.
struct LoggedRecord {
  LogOffset Offset;
  /// The decoded record; empty if it could not be decoded.
  wire::LogRecord Record;
};

/// One response of the log.
struct LogPage {
  /// Offset of the oldest record that the log keeps.
  LogOffset OldestOffset;
  /// The offset after the last record of this page.
  LogOffset NextOffset;
  std::vector<LoggedRecord> Records;
};

/// Client of the platform's services for one command. Calls block and run one
/// at a time.
class Platform {
public:
  /// @param Options the services' addresses and the command's timeout; must
  ///   outlive this object.
  explicit Platform(const Options &Options);

  /// @return the time of the steady clock.
  Millis now() const { return this->Events.now(); }

  /// @return whether the command's timeout has expired.
  bool deadlinePassed();

  /// Runs the event loop for the given time.
  void pause(Millis Span);

  /// Reads one page of the log.
  /// @param Wait how long the log may wait for a record before it answers.
  /// @return the page, or ErrorKind::Unavailable.
  Result<LogPage> readPage(LogOffset FirstOffset, Millis Wait);

  /// Applies all records of the log, up to its current end.
  /// @param Fold the state to build; no record may have been applied to it.
  /// @return the offset of the last record; an error if the log does not answer
  ///   or has lost its start and holds no snapshot.
  Result<LogOffset> foldAll(LogFold &Fold);

  /// Appends one record and waits until it is read back and applied. It is
  /// sent again until it has been read back. Every copy has the same boot id
  /// and sequence number, so that it takes effect once.
  /// @param Fold the state before the record; all records read are applied.
  /// @return what the record changed, or an error if it was not read back in
  ///   time; it may have taken effect nevertheless.
  Result<std::vector<FoldChange>> append(wire::LogRecord Record, LogFold &Fold);

  /// @return the hosts of the host list, or an error if it does not answer.
  Result<std::vector<HostEntry>> hosts();

  /// @param Entry an entry's HTTP address.
  /// @return its response to /admin/status, a JSON object.
  Result<nlohmann::json> status(const HttpTarget &Entry);

private:
  /// @return the response, of any status, or why there is none.
  Result<HttpResponse> call(HttpCall Call);
  /// Sends a record once and ignores the response.
  /// @param Encoded the encoded record.
  void sendAppend(const std::string &Encoded);
  /// Reads and applies the next page of the log.
  /// @param Boot boot id of the writer whose record is awaited.
  /// @param Fold the state to which the records are applied.
  /// @param Changes set to what that writer's first record changed.
  /// @return whether the page holds a record of that writer.
  bool readBack(int64_t Boot, LogFold &Fold, std::vector<FoldChange> &Changes);

  /// The event loop that the HTTP client runs on.
  mutable Loop Events;
  HttpClient Http;
  /// The command line, with the services' addresses.
  const Options &Wanted;
  /// Time of the steady clock at which the command's timeout expires.
  Millis Deadline;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CTL_PLATFORM_BASE_H
