/// @file
/// Errors with a kind, a message and a remedy, and results that hold a value or
/// an error.

#ifndef CAMPHORNOTCH_BASE_ERROR_TYPE_H
#define CAMPHORNOTCH_BASE_ERROR_TYPE_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>

namespace camphornotch {

/// Kinds of errors, by what the reader can do about them.
enum class ErrorKind {
  BadSetting,  ///< Invalid setting or flag: edit the settings and restart.
  BadRule,     ///< Invalid line of the rule file: edit it and publish again.
  BadInput,    ///< A message of a caller or peer cannot be parsed.
  TooLarge,    ///< A message is over its size limit.
  Conflict,    ///< The same object was changed concurrently.
  Unavailable, ///< The peer cannot be reached now: try again later.
  NotFound,    ///< The named object does not exist.
};

struct Error {
  ErrorKind Kind = ErrorKind::BadInput;
  /// What is wrong, after the place (file, line or field).
  std::string Message;
  /// What to do or write instead.
  std::string Remedy;
};

/// A value or an error; access to the one that is absent ends the process.
template <typename ValueT>
using Result =
    boost::outcome_v2::basic_result<ValueT, Error,
                                    boost::outcome_v2::policy::terminate>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_ERROR_TYPE_H
