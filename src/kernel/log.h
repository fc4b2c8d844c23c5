#ifndef BUCKTHORNSHUNT_KERNEL_LOG_H
#define BUCKTHORNSHUNT_KERNEL_LOG_H

#include <charconv>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornshunt {

enum class LogFormat : std::uint8_t
{
  Text,
  Json
};

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warn,
  Error
};

/// Sends logs to standard output. While its reader doesn't keep up, the library
/// drops and counts lines.
void
SetUpLogs(LogFormat aFormat, LogLevel aLevel);

/// Flushes buffered lines and stops the background writer.
void
ShutDownLogs();

/// Writes one line; aPart is the fixed prefix of the component that logs.
void
WriteLog(LogLevel aLevel, std::string_view aPart, std::string_view aText);

bool
LogEnabled(LogLevel aLevel);

/// Appends an argument of a log line as text.
inline void
AppendText(std::string& aOut, std::string_view aText)
{
  aOut += aText;
}

template<class Number>
  requires std::integral<Number> || std::floating_point<Number>
void
AppendText(std::string& aOut, Number aNumber)
{
  constexpr std::size_t kMaxDigits = 32;
  constexpr int kPrecision = 6;
  char buf[kMaxDigits];
  std::to_chars_result end{};
  if constexpr (std::integral<Number>) {
    end = std::to_chars(buf, buf + kMaxDigits, aNumber);
  } else {
    end = std::to_chars(
      buf, buf + kMaxDigits, aNumber, std::chars_format::general, kPrecision);
  }
  aOut.append(buf, end.ptr);
}

/// Replaces each "{}" in the template with the next argument.
template<class... Args>
std::string
FormatText(std::string_view aTemplate, const Args&... aArgs)
{
  std::string out;
  out.reserve(aTemplate.size() * 2);
  std::string_view rest = aTemplate;
  [[maybe_unused]] auto put = [&](const auto& aArg) {
    std::size_t at = rest.find("{}");
    out += rest.substr(0, at);
    rest =
      at == std::string_view::npos ? std::string_view{} : rest.substr(at + 2);
    AppendText(out, aArg);
  };
  (put(aArgs), ...);
  out += rest;
  return out;
}

template<class... Args>
void
Log(LogLevel aLevel,
    std::string_view aPart,
    std::string_view aTemplate,
    const Args&... aArgs)
{
  if (LogEnabled(aLevel)) {
    WriteLog(aLevel, aPart, FormatText(aTemplate, aArgs...));
  }
}

template<class... Args>
void
LogInfo(std::string_view aPart,
        std::string_view aTemplate,
        const Args&... aArgs)
{
  Log(LogLevel::Info, aPart, aTemplate, aArgs...);
}

template<class... Args>
void
LogWarn(std::string_view aPart,
        std::string_view aTemplate,
        const Args&... aArgs)
{
  Log(LogLevel::Warn, aPart, aTemplate, aArgs...);
}

template<class... Args>
void
LogError(std::string_view aPart,
         std::string_view aTemplate,
         const Args&... aArgs)
{
  Log(LogLevel::Error, aPart, aTemplate, aArgs...);
}

} // namespace buckthornshunt

#endif
