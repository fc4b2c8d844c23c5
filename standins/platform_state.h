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

/// Faults that a test injects into the platform.
struct PlatformFaults
{
  /// Every call fails as unavailable.
  bool mDown = false;
  /// Added to the duration of each call.
  Duration mDelay{};
  /// Number of next commits that take effect but whose answers are lost.
  int mLoseAnswers = 0;
  /// Number of next commits that time out without taking effect.
  int mLoseCommits = 0;
  /// Reads return the table as of this many commits ago.
  std::uint64_t mStaleCommits = 0;
  /// Data centres whose nodes can't connect to the platform.
  std::set<std::string, std::less<>> mUnreachableFrom;
};

/// In-memory table, object store and VM list of a simulated platform.
class PlatformState
{
public:
  /// Fails with CommitConflict or NotFound.
  Expected<PlatformReply> Handle(const PlatformCall& aCall, WallTime aNow);

  PlatformFaults& Faults() { return mFaults; }
  VmList& Vms() { return mVms; }

  /// Sets the function that a reboot call runs, with the name of the VM.
  void SetRebootHandler(std::function<void(std::string_view)> aCall)
  {
    mOnReboot = std::move(aCall);
  }
  /// Revision of the newest commit.
  Revision Position() const { return mRevision; }

  /// Every row version ever written, in commit order.
  const std::deque<Row>& Log() const { return mLog; }

  /// Calls and commit attempts handled so far, conflicts included; used to
  /// measure load.
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

/// Creates the port through which a node of the given data centre calls the
/// platform in this process. Injected faults give StoreUnavailable,
/// TimeoutFailure or ConnectionLost.
Platform
MakePlatformPort(PlatformState& aState,
                 Clock& aClock,
                 std::string_view aDataCentre);

} // namespace buckthornshunt::standins

#endif
