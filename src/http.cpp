#include "http.h"

#include <algorithm>
#include <cctype>

namespace chivelanding {

std::string_view HttpRequest::header(std::string_view Name) const {
  const auto EqualIgnoringCase = [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  };
  for (const HttpHeader &H : Headers_)
    if (std::equal(Name.begin(), Name.end(), H.Name_.begin(), H.Name_.end(),
                   EqualIgnoringCase))
      return H.Value_;
  return {};
}

} // namespace chivelanding
