/// @file
/// Blocking calls to the log, the host list and entries.

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

/// One record as the log answered it.
struct LoggedRecord {
  /// Its offset.
  LogOffset Offset;
  /// The record.
  wire::LogRecord Record;
};

/// One answer of the log.
struct LogPage {
  /// The oldest record that it keeps.
  LogOffset Oldest;
  /// The offset after the last record told.
  LogOffset Next;
  /// The records.
  std::vector<LoggedRecord> Records;
};

/// Speaks to the platform for one command, one call at a time.
class Platform {
public:
  /// @param Options says where the services are.
  explicit Platform(const Options &Options);

  /// @return the steady clock.
  Millis now() const { return this->Events.now(); }

  /// @return whether the command's time is over.
  bool timeIsOver();

  /// Lets time pass.
  /// @param Span how much.
  void pause(Millis Span);

  /// Reads one page of the log.
  /// @param From the first offset.
  /// @param Wait how long to wait for a record.
  /// @return the page, or why it cannot be had.
  Result<LogPage> readPage(LogOffset From, Millis Wait);

  /// Folds the log up to its present end.
  /// @param Fold takes the records; must not have taken any.
  /// @return the error, if the log does not answer.
  Result<LogOffset> foldAll(LogFold &Fold);

  /// Appends one record and waits until it is read back and folded. It is
  /// sent again until it has been seen, with the same boot and sequence, so
  /// it counts once.
  /// @param Record the record.
  /// @param Fold the state so far.
  /// @return what the record changed, or why its fate is not known.
  Result<std::vector<FoldChange>> append(wire::LogRecord Record, LogFold &Fold);

  /// @return the host list.
  Result<std::vector<HostEntry>> hosts();

  /// @param Entry an entry's HTTP address.
  /// @return its answer to /admin/status.
  Result<nlohmann::json> status(const HttpTarget &Entry);

private:
  /// @param Call a call.
  /// @return its answer, whatever its status; or why there is none.
  Result<HttpResponse> call(HttpCall Call);
  /// Sends a record once.
  /// @param Encoded the record.
  void sendAppend(const std::string &Encoded);
  /// Reads on until a record of the given writer comes or a wait is over.
  /// @param Boot the writer.
  /// @param Fold takes the records.
  /// @param Changes takes what that record changed.
  /// @return whether it came.
  bool readBack(int64_t Boot, LogFold &Fold, std::vector<FoldChange> &Changes);

  /// The loop that the client runs on.
  mutable Loop Events;
  /// Sends the calls.
  HttpClient Http;
  /// Where the services are.
  const Options &Wanted;
  /// When the command's time is over.
  Millis Deadline;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CTL_PLATFORM_BASE_H
