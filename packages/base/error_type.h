/// @file
/// Typed errors whose message names the remedy, and results that carry them.

#ifndef CAMPHORNOTCH_BASE_ERROR_TYPE_H
#define CAMPHORNOTCH_BASE_ERROR_TYPE_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>

namespace camphornotch {

/// What went wrong, by what the reader of the error can do about it.
enum class ErrorKind {
  BadSetting,  ///< A setting or flag: edit the settings and start again.
  BadRule,     ///< A line of the rule file: edit it and publish again.
  BadInput,    ///< A caller's or peer's message cannot be understood.
  TooLarge,    ///< A message is over its size limit.
  Conflict,    ///< Somebody else changed the same thing first.
  Unavailable, ///< The other side cannot be reached now: try again later.
  NotFound,    ///< The named thing does not exist.
};

/// One error.
struct Error {
  /// The kind, for programs.
  ErrorKind Kind = ErrorKind::BadInput;
  /// What is wrong, with the place (file, line or field) in front.
  std::string Message;
  /// What to do or write instead.
  std::string Remedy;
};

/// A value or an error; reading the absent one ends the process.
template <typename ValueT>
using Result =
    boost::outcome_v2::basic_result<ValueT, Error,
                                    boost::outcome_v2::policy::terminate>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_ERROR_TYPE_H
