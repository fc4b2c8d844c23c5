#include "kernel/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <map>

namespace buckthornshunt {

namespace {

constexpr int kMaxBufferedLines = 2048;

log4cxx::LevelPtr
ToLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      break;
  }
  return log4cxx::Level::getError();
}

/// Minimum level that is written.
std::atomic<LogLevel> gLevel = LogLevel::Debug;

// Caches loggers per thread: the library's lookup by name takes a lock and
// would cost more than formatting the line.
log4cxx::Logger&
FindLogger(std::string_view aPart)
{
  thread_local std::map<std::string, log4cxx::LoggerPtr, std::less<>> loggers;
  auto it = loggers.find(aPart);
  if (it == loggers.end()) {
    std::string part(aPart);
    it = loggers.emplace(part, log4cxx::Logger::getLogger(part)).first;
  }
  return *it->second;
}

log4cxx::LayoutPtr
MakeLayout(LogFormat aFormat)
{
  if (aFormat == LogFormat::Json) {
    return std::make_shared<log4cxx::JSONLayout>();
  }
  return std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p [%c] %m%n");
}

} // namespace

// The asynchronous appender is non-blocking: a full pipe on standard output
// must not stall the daemon.
void
SetUpLogs(LogFormat aFormat, LogLevel aLevel)
{
  auto console =
    std::make_shared<log4cxx::ConsoleAppender>(MakeLayout(aFormat));
  console->setTarget(LOG4CXX_STR("System.out"));
  log4cxx::helpers::Pool pool;
  console->activateOptions(pool);

  auto async = std::make_shared<log4cxx::AsyncAppender>();
  async->setBufferSize(kMaxBufferedLines);
  async->setBlocking(false);
  async->addAppender(console);

  log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(async);
  root->setLevel(ToLevel(aLevel));
  gLevel = aLevel;
}

void
ShutDownLogs()
{
  log4cxx::LogManager::shutdown();
}

bool
LogEnabled(LogLevel aLevel)
{
  return aLevel >= gLevel.load(std::memory_order_relaxed);
}

void
WriteLog(LogLevel aLevel, std::string_view aPart, std::string_view aText)
{
  FindLogger(aPart).forcedLog(ToLevel(aLevel), std::string(aText));
}

} // namespace buckthornshunt
