#include "kernel/entry_log.h"

#include "kernel/log.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::size_t kMaxTextBytes = 100;
/// Further entries are counted only, whatever keys their writer invents.
constexpr std::size_t kMaxEntries = 1000;

// Keys come from other writers and may hold line breaks.
std::string
ToLogText(std::string_view aText)
{
  std::string text(aText.substr(0, kMaxTextBytes));
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aChar) { return aChar >= 0 && aChar < ' '; },
    '?');
  return text;
}

} // namespace

MalformedEntryLog::MalformedEntryLog(Metrics& aMetrics, std::string_view aPart)
  : mCounter(aMetrics.GetCounter(kCounter))
  , mPart(aPart)
{
}

void
MalformedEntryLog::Record(std::string_view aTable,
                          std::string_view aKey,
                          std::string_view aReason)
{
  mCounter.Add();
  std::pair<std::string, std::string> name(aTable, ToLogText(aKey));
  std::string reason = ToLogText(aReason);
  auto it = mReasons.find(name);
  bool known = it != mReasons.end();
  if (known ? it->second == reason : mReasons.size() >= kMaxEntries) {
    return;
  }
  ++mLogged;
  LogWarn(mPart,
          "malformed entry skipped table={} key={} reason={}",
          aTable,
          name.second,
          reason);
  mReasons.insert_or_assign(std::move(name), std::move(reason));
}

void
MalformedEntryLog::Clear(std::string_view aTable, std::string_view aKey)
{
  if (!mReasons.empty()) {
    mReasons.erase({ std::string(aTable), ToLogText(aKey) });
  }
}

} // namespace buckthornshunt
