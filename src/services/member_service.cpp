#include "services/member_service.h"

#include "kernel/log.h"
#include "services/table_service.h"
#include "wire/row_codec.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "members";
constexpr std::string_view kAllNodesPrefix = "c/node/";
constexpr Duration kCommitTimeout = std::chrono::seconds(3);
constexpr Duration kMinRetryInterval = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryInterval = std::chrono::seconds(5);

} // namespace

MemberService::MemberService(Kernel& aKernel, NodeIdentity aSelf)
  : mKernel(aKernel)
  , mSelf(std::move(aSelf))
  , mOwnKey(NodeKey(mSelf.mDataCentre, mSelf.mNode))
  , mChanged(aKernel.Context())
  , mTasks(aKernel.Context(), &aKernel.Groups())
{
}

leaf::result<void>
MemberService::Start()
{
  BOOST_LEAF_ASSIGN(mTable, mKernel.Find<TableService>(TableService::kName));
  mTasks.Spawn("members follow", WatchNodes());
  mTasks.Spawn("members register", Register());
  return {};
}

Task<void>
MemberService::WatchNodes()
{
  auto watch = mTable->Watch(kAllNodesPrefix);
  while (true) {
    co_await watch->Next();
    mChanged.NotifyAll();
  }
}

// Replaces the row of an earlier process on the same VM: both listen on the
// same port, so the earlier one has ended.
Task<bool>
MemberService::TryRegister()
{
  Clock& clock = mKernel.GetClock();
  TimePoint deadline = clock.Now() + kCommitTimeout;
  std::string key = NodeKey(mSelf.mDataCentre, mSelf.mNode);
  auto read = co_await mTable->Read(key, deadline);
  if (!Ok(read)) {
    co_return false;
  }
  const std::optional<Row>& row = std::get<RowRead>(read).mRow;
  NodeRecord record{ mSelf.mNode,
                     mSelf.mDataCentre,
                     mSelf.mIncarnation,
                     mSelf.mPeerEndpoint,
                     clock.WallNow() };
  CommitRows commit;
  Revision expected = row ? row->mRevision : Revision{};
  commit.mWrites.push_back({ key, EncodeNode(record), expected, false });
  auto written = co_await mTable->Commit(std::move(commit), deadline);
  if (!Ok(written)) {
    co_return false;
  }
  mRegisteredRevision = std::get<Revision>(written);
  co_return true;
}

Task<void>
MemberService::Register()
{
  Duration retryInterval = kMinRetryInterval;
  while (!mRegisteredRevision) {
    bool done = co_await TryRegister();
    if (!done) {
      co_await mKernel.GetClock().Sleep(retryInterval);
      retryInterval = std::min(retryInterval * 2, kMaxRetryInterval);
    }
  }
  LogInfo(kPart, "registered as {} in {}", mSelf.mNode, mSelf.mDataCentre);
  mTable->RequestRefresh();
  mChanged.NotifyAll();
}

// Called for every request, so the row is decoded only after a change.
bool
MemberService::IsOwnRowCurrent() const
{
  const Row* row = mTable->View().Find(mOwnKey);
  if (row == nullptr) {
    return false;
  }
  if (row->mRevision != mOwnRowRevision) {
    auto record =
      ToExpected<NodeRecord>([&] { return DecodeNode(row->mValue); });
    mOwnRowRevision = row->mRevision;
    mOwnRowCurrent = Ok(record) && std::get<NodeRecord>(record).mIncarnation ==
                                     mSelf.mIncarnation;
  }
  return mOwnRowCurrent;
}

// Until this node's copy of the rows includes its own registration, it may hold
// ownership rows that are older than a move which didn't wait for it.
bool
MemberService::Registered() const
{
  return mRegisteredRevision &&
         mTable->View().Position() >= *mRegisteredRevision && IsOwnRowCurrent();
}

std::vector<NodeRecord>
MemberService::NodesUnder(std::string_view aPrefix) const
{
  std::vector<NodeRecord> nodes;
  mTable->View().ForEach(aPrefix, [&](const Row& aRow) {
    auto record =
      ToExpected<NodeRecord>([&] { return DecodeNode(aRow.mValue); });
    if (Ok(record)) {
      nodes.push_back(std::get<NodeRecord>(std::move(record)));
    }
  });
  return nodes;
}

std::vector<NodeRecord>
MemberService::NodesOf(std::string_view aDataCentre) const
{
  return NodesUnder(NodePrefix(aDataCentre));
}

std::vector<NodeRecord>
MemberService::AllNodes() const
{
  return NodesUnder(kAllNodesPrefix);
}

// A stopping node removes its registration, so that no move waits for it.
// Services that send work stop before this one.
Task<void>
MemberService::Stop()
{
  mTasks.CancelAll();
  co_await mTasks.Join();
  const Row* row = mTable->View().Find(mOwnKey);
  if (row == nullptr || !Registered()) {
    co_return;
  }
  CommitRows commit;
  commit.mWrites.push_back({ row->mKey, {}, row->mRevision, true });
  TimePoint deadline = mKernel.GetClock().Now() + kCommitTimeout;
  auto written = co_await mTable->Commit(std::move(commit), deadline);
  LogInfo(kPart,
          Ok(written)
            ? "registration removed"
            : "could not remove the registration; it stays in the table");
}

} // namespace buckthornshunt
