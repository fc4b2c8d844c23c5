#ifndef BUCKTHORNSHUNT_STANDINS_PLATFORM_STATE_H
#define BUCKTHORNSHUNT_STANDINS_PLATFORM_STATE_H

#include "kernel/clock.h"
#include "ports/platform.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace buckthornshunt::standins {

/// Faults of the platform, to be set by tests.
struct PlatformFaults
{
  bool mDown = false;
  /// Time that each call takes.
  Duration mDelay{};
  /// Next commits that take effect but whose answers are lost.
  int mLoseAnswers = 0;
  /// Next commits that are lost before they take effect.
  int mLoseCommits = 0;
  /// Reads show the table as it was this many commits ago.
  std::uint64_t mStaleCommits = 0;
  /// Data centres that can't reach the platform.
  std::set<std::string, std::less<>> mUnreachableFrom;
};

/// Table, object store and VM list of a platform, in memory.
class PlatformState
{
public:
  Expected<PlatformReply> Handle(const PlatformCall& aCall, WallTime aNow);

  PlatformFaults& Faults() { return mFaults; }
  VmList& Vms() { return mVms; }

  /// Called when a VM is to restart.
  void SetRebootHandler(std::function<void(std::string_view)> aCall)
  {
    mOnReboot = std::move(aCall);
  }
  Revision Position() const { return mRevision; }

  /// Every row ever written, in the order of its commit.
  const std::deque<Row>& Log() const { return mLog; }

  /// Calls handled, for figures of load.
  std::uint64_t Calls() const { return mCalls; }
  std::uint64_t Commits() const { return mCommits; }

private:
  struct Handler;

  Expected<PlatformReply> Commit(const CommitRows& aCall, WallTime aNow);
  RowBatch Read(const ReadRows& aCall) const;
  std::optional<Row> ReadOne(std::string_view aKey) const;
  Revision VisibleRevision() const;

  PlatformFaults mFaults;
  VmList mVms;
  std::function<void(std::string_view)> mOnReboot;
  Revision mRevision{};
  std::map<std::string, Row, std::less<>> mRows;
  std::deque<Row> mLog;
  std::map<std::string, std::string, std::less<>> mObjects;
  std::uint64_t mCalls = 0;
  std::uint64_t mCommits = 0;
};

/// A port by which a node of a data centre in this process calls the platform.
Platform
MakePlatformPort(PlatformState& aState,
                 Clock& aClock,
                 std::string_view aDataCentre);

} // namespace buckthornshunt::standins

#endif
