#include "json_text.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace chivelanding {
namespace {

using Json = nlohmann::json;

// Replacement of a value that cannot be read. No reader takes it for a number,
// a text, a list or a missing field.
const std::string Unreadable = R"({"unreadable":true})";

bool isOpening(char C) { return C == '[' || C == '{'; }
bool isClosing(char C) { return C == ']' || C == '}'; }
bool isDigit(char C) { return C >= '0' && C <= '9'; }

/// Position after the string that begins at Begin.
std::size_t stringEnd(std::string_view Text, std::size_t Begin) {
  for (std::size_t I = Begin + 1; I < Text.size(); ++I) {
    if (Text[I] == '\\')
      ++I;
    else if (Text[I] == '"')
      return I + 1;
  }
  return Text.size();
}

/// Position after the array or object that begins at Begin.
std::size_t containerEnd(std::string_view Text, std::size_t Begin) {
  std::size_t Depth = 0;
  for (std::size_t I = Begin; I < Text.size();) {
    if (Text[I] == '"') {
      I = stringEnd(Text, I);
      continue;
    }
    if (isOpening(Text[I]))
      ++Depth;
    else if (isClosing(Text[I]) && --Depth == 0)
      return I + 1;
    ++I;
  }
  return Text.size();
}

/// True if the number follows the grammar of JSON and is in the range of a
/// double.
bool isReadableNumber(const std::string &Token) {
  const char *C = Token.c_str();
  const auto SkipDigits = [&C] {
    const char *Begin = C;
    while (isDigit(*C))
      ++C;
    return C != Begin;
  };
  C += *C == '-' ? 1 : 0;
  const bool LeadingZero = *C == '0';
  if (LeadingZero)
    ++C;
  else if (!SkipDigits())
    return false;
  if (*C == '.' && (++C, !SkipDigits()))
    return false;
  if (*C == 'e' || *C == 'E') {
    ++C;
    C += *C == '+' || *C == '-' ? 1 : 0;
    if (!SkipDigits())
      return false;
  }
  return *C == '\0' && std::isfinite(std::strtod(Token.c_str(), nullptr));
}

/// Length of the UTF-8 sequence at the begin of Text; 0 if it is not one.
std::size_t sequenceLength(std::string_view Text) {
  const auto Byte = [&Text](std::size_t I) {
    return I < Text.size() ? static_cast<unsigned char>(Text[I]) : 0u;
  };
  const auto Follows = [&Byte](std::size_t I, unsigned Low, unsigned High) {
    return Byte(I) >= Low && Byte(I) <= High;
  };
  const unsigned First = Byte(0);
  if (First < 0x80)
    return 1;
  if (First >= 0xc2 && First <= 0xdf)
    return Follows(1, 0x80, 0xbf) ? 2 : 0;
  // Excludes overlong forms, surrogates and code points above U+10FFFF.
  const unsigned Low = First == 0xe0 ? 0xa0 : First == 0xf0 ? 0x90 : 0x80;
  const unsigned High = First == 0xed ? 0x9f : First == 0xf4 ? 0x8f : 0xbf;
  if (!Follows(1, Low, High) || !Follows(2, 0x80, 0xbf))
    return 0;
  if (First >= 0xe0 && First <= 0xef)
    return 3;
  return First >= 0xf0 && First <= 0xf4 && Follows(3, 0x80, 0xbf) ? 4 : 0;
}

/// Value of the escape \uXXXX at the begin of Text; empty if it is not one.
std::optional<unsigned> escapedUnit(std::string_view Text) {
  if (Text.size() < 6 || Text.substr(0, 2) != "\\u")
    return std::nullopt;
  const std::string Digits(Text.substr(2, 4));
  if (Digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    return std::nullopt;
  return static_cast<unsigned>(std::strtoul(Digits.c_str(), nullptr, 16));
}

/// Length of the escape at the begin of Text; 0 if it is not valid. The two
/// halves of a surrogate pair are one escape.
std::size_t escapeLength(std::string_view Text) {
  if (Text.size() < 2)
    return 0;
  if (std::string_view("\"\\/bfnrt").find(Text[1]) != std::string_view::npos)
    return 2;
  const auto Unit = escapedUnit(Text);
  if (!Unit || (*Unit >= 0xdc00 && *Unit <= 0xdfff))
    return 0;
  if (*Unit < 0xd800 || *Unit > 0xdbff)
    return 6;
  const auto Second = escapedUnit(Text.substr(6));
  return Second && *Second >= 0xdc00 && *Second <= 0xdfff ? 12 : 0;
}

/// Appends the string at the begin of Text, which ends with it.
void appendString(std::string_view Text, std::string &Out) {
  Out += '"';
  const std::size_t End =
      Text.size() > 1 && Text.back() == '"' ? Text.size() - 1 : Text.size();
  for (std::size_t I = 1; I < End;) {
    const std::string_view Rest = Text.substr(I, End - I);
    const bool IsControl = static_cast<unsigned char>(Rest[0]) < 0x20;
    const std::size_t Length = Rest[0] == '\\' ? escapeLength(Rest)
                               : IsControl     ? 0
                                               : sequenceLength(Rest);
    Out += Length > 0 ? Rest.substr(0, Length) : "?";
    I += std::max<std::size_t>(1, Length);
  }
  Out += '"';
}

} // namespace

bool exceedsLimits(std::string_view Text, const JsonLimits &Limits) {
  const auto Containers =
      static_cast<std::size_t>(std::count(Text.begin(), Text.end(), '[') +
                               std::count(Text.begin(), Text.end(), '{'));
  if (Containers <= std::min(Limits.MaxDepth_, Limits.MaxContainers_))
    return false;
  std::size_t Depth = 0;
  std::size_t Opened = 0;
  for (std::size_t I = 0; I < Text.size();) {
    if (Text[I] == '"') {
      I = stringEnd(Text, I);
      continue;
    }
    if (isOpening(Text[I]) &&
        (++Depth > Limits.MaxDepth_ || ++Opened > Limits.MaxContainers_))
      return true;
    if (isClosing(Text[I]) && Depth > 0)
      --Depth;
    ++I;
  }
  return false;
}

std::string repairJson(std::string_view Text, const JsonLimits &Limits) {
  std::string Out;
  Out.reserve(Text.size());
  std::size_t Depth = 0;
  std::size_t Containers = 0;
  for (std::size_t I = 0; I < Text.size();) {
    const char C = Text[I];
    std::size_t End = I + 1;
    if (C == '"') {
      End = stringEnd(Text, I);
      appendString(Text.substr(I, End - I), Out);
    } else if (isOpening(C) && (Depth >= Limits.MaxDepth_ ||
                                Containers >= Limits.MaxContainers_)) {
      End = containerEnd(Text, I);
      Out += Unreadable;
    } else if (C == '-' || isDigit(C)) {
      End = std::min(Text.find_first_not_of("+-.eE0123456789", I), Text.size());
      const std::string Token(Text.substr(I, End - I));
      Out += isReadableNumber(Token) ? Token : Unreadable;
    } else {
      Depth += isOpening(C) ? 1 : 0;
      Containers += isOpening(C) ? 1 : 0;
      Depth -= isClosing(C) && Depth > 0 ? 1 : 0;
      Out += C;
    }
    I = End;
  }
  return Out;
}

Json parseJson(const std::string &Text, const JsonLimits &Limits) {
  if (exceedsLimits(Text, Limits))
    return Json(Json::value_t::discarded);
  return Json::parse(Text, nullptr, false);
}

// Nearly all texts are read without a repair.
Json parseJsonItems(const std::string &Text, const JsonLimits &Limits) {
  Json Document = parseJson(Text, Limits);
  if (!Document.is_discarded())
    return Document;
  return Json::parse(repairJson(Text, Limits), nullptr, false);
}

} // namespace chivelanding
