#ifndef CHIVELANDING_RESULT_H
#define CHIVELANDING_RESULT_H

#include <string>
#include <utility>
#include <variant>

namespace chivelanding {

/// A failure: a stable code, the step that failed, the peer or address if one
/// is involved, and a detail text.
struct Error {
  std::string Code_;
  std::string Step_;
  std::string Peer_;
  std::string Detail_;

  /// One line: "STEP at PEER: CODE: DETAIL".
  std::string str() const {
    std::string Text = Step_;
    if (!Peer_.empty())
      Text += " at " + Peer_;
    return Text + ": " + Code_ + ": " + Detail_;
  }
};

/// A value or an Error.
template <typename T> using Result = std::variant<T, Error>;

template <typename T> bool ok(const Result<T> &R) { return R.index() == 0; }
template <typename T> T &value(Result<T> &R) { return std::get<0>(R); }
template <typename T> const T &value(const Result<T> &R) {
  return std::get<0>(R);
}
template <typename T> T &&value(Result<T> &&R) {
  return std::get<0>(std::move(R));
}
template <typename T> const Error &error(const Result<T> &R) {
  return std::get<1>(R);
}

/// Success without a value.
using Done = std::monostate;

} // namespace chivelanding

#endif
