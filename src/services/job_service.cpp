#include "services/job_service.h"

#include "kernel/log.h"
#include "services/dispatch_service.h"
#include "services/member_service.h"
#include "services/peer_service.h"
#include "services/table_service.h"

#include <algorithm>

namespace buckthornshunt {

namespace {

constexpr std::string_view kPart = "jobs";
constexpr Duration kReadInterval = std::chrono::seconds(1);
constexpr Duration kCallTimeout = std::chrono::seconds(3);
constexpr Duration kRetryInterval = std::chrono::seconds(2);
/// Time limit of one run of a job.
constexpr Duration kMaxRunTime = std::chrono::hours(12);
/// A job that still fails after this many attempts is set aside.
constexpr std::uint64_t kMaxTries = 3;

} // namespace

JobService::JobService(Kernel& aKernel)
  : mKernel(aKernel)
  , mTasks(aKernel.Context(), &aKernel.Groups())
{
}

leaf::result<void>
JobService::Start()
{
  BOOST_LEAF_ASSIGN(mTable, mKernel.Find<TableService>(TableService::kName));
  BOOST_LEAF_ASSIGN(mMembers,
                    mKernel.Find<MemberService>(MemberService::kName));
  BOOST_LEAF_ASSIGN(mPeers, mKernel.Find<PeerService>(PeerService::kName));
  BOOST_LEAF_ASSIGN(mDispatch,
                    mKernel.Find<DispatchService>(DispatchService::kName));
  mTasks.Spawn("jobs follow", PollJobs());
  return {};
}

// A stopping node starts no more jobs and stops waiting for the running ones:
// they continue at their servers, and another node fetches their answers.
Task<void>
JobService::Stop()
{
  mStopping = true;
  mTasks.CancelAll();
  co_await mTasks.Join();
}

Task<void>
JobService::PollJobs()
{
  while (!mStopping) {
    co_await Refresh();
    StartDueJobs();
    co_await mKernel.GetClock().Sleep(kReadInterval);
  }
}

Task<void>
JobService::Refresh()
{
  TimePoint deadline = mKernel.GetClock().Now() + kCallTimeout;
  std::string prefix = JobPrefix(mMembers->Self().mDataCentre);
  auto batch = co_await mTable->ReadPrefix(prefix, mReadRevision, deadline);
  if (!Ok(batch)) {
    co_return;
  }
  for (const Row& row : std::get<RowBatch>(batch).mRows) {
    auto job = ToExpected<Job>([&] { return DecodeJob(row.mValue); });
    Entry& entry = mEntries[row.mKey];
    bool ended = row.mDeleted || !Ok(job) || IsFinal(std::get<Job>(job).mState);
    if (ended && entry.mCaller) {
      // Cancelled by its caller: the attempt is stopped, and Run erases the
      // entry when its task ends.
      entry.mCaller->MarkDisconnected();
    }
    if (ended && !entry.mCaller) {
      mEntries.erase(row.mKey);
    }
    if (!ended && row.mRevision > entry.mRevision) {
      entry.mJob = std::get<Job>(std::move(job));
      entry.mRevision = row.mRevision;
    }
  }
  mReadRevision = std::max(mReadRevision, std::get<RowBatch>(batch).mUpTo);
}

// Each job is assigned to one of the live nodes by a hash of its name. If two
// nodes disagree about which are live, the job's row lets only one of them
// start an attempt.
bool
JobService::ShouldRunHere(std::string_view aName, const Entry& aEntry) const
{
  const NodeIdentity& self = mMembers->Self();
  std::vector<std::string> live{ self.mNode };
  for (const NodeRecord& node : mMembers->NodesOf(self.mDataCentre)) {
    if (node.mNode != self.mNode && mPeers->IsLive(node.mNode)) {
      live.push_back(node.mNode);
    }
  }
  std::sort(live.begin(), live.end());
  std::size_t owner = std::hash<std::string_view>{}(aName) % live.size();
  if (live[owner] != self.mNode) {
    return false;
  }
  return !aEntry.mCaller && aEntry.mNotBefore <= mKernel.GetClock().Now();
}

void
JobService::StartDueJobs()
{
  if (!mDispatch->Ready()) {
    return;
  }
  for (auto& [name, entry] : mEntries) {
    if (ShouldRunHere(name, entry)) {
      entry.mCaller = std::make_shared<CallerState>();
      mTasks.Spawn("job", Run(name));
    }
  }
}

// Runs a job until it has an outcome. DispatchService follows the job's claim,
// which also resolves an attempt that another node started.
Task<void>
JobService::Run(std::string aName)
{
  Clock& clock = mKernel.GetClock();
  const Job& job = mEntries.at(aName).mJob;
  std::shared_ptr<CallerState> caller = mEntries.at(aName).mCaller;
  Request request;
  request.mPool = job.mPool;
  request.mOperation = job.mOperation;
  request.mTeam = job.mTeam;
  request.mKey = aName;
  request.mBody = job.mBody;
  request.mDeclaredRunTime = job.mDeclared;
  request.mIdempotency = Idempotency::Idempotent;
  request.mDeadline = clock.Now() + kMaxRunTime;
  request.mTraceId = mKernel.GetTracer().NewId();
  bool repeatable = !mDispatch->RequiresAtMostOnce(request);
  Outcome outcome =
    co_await mDispatch->Serve(request, *caller, RequestOrigin::Job);
  co_await RecordOutcome(aName, std::move(outcome), repeatable);
  auto it = mEntries.find(aName);
  if (it != mEntries.end()) {
    it->second.mCaller.reset();
    it->second.mNotBefore = clock.Now() + kRetryInterval;
    if (caller->IsDisconnected()) {
      mEntries.erase(it);
    }
  }
}

namespace {

/// New state of a job's row after an outcome; no value if the claim has set it
/// already or the job stays queued.
struct StateAfterOutcome
{
  bool mRepeatable;
  std::uint64_t mTries;

  std::optional<JobState> operator()(const Completed&) const
  {
    return std::nullopt;
  }
  std::optional<JobState> operator()(const NotRun&) const
  {
    return std::nullopt;
  }
  std::optional<JobState> operator()(const Failed&) const
  {
    bool retry = mRepeatable && mTries < kMaxTries;
    return retry ? JobState::Queued : JobState::SetAside;
  }
  // The outcome can't be determined: the server is gone or has restarted. The
  // work may have run, so only an idempotent job is queued again.
  std::optional<JobState> operator()(const Unknown&) const
  {
    return mRepeatable ? JobState::Queued : JobState::Unknown;
  }
};

} // namespace

Task<void>
JobService::RecordOutcome(std::string aName, Outcome aOutcome, bool aRepeatable)
{
  auto it = mEntries.find(aName);
  if (it == mEntries.end() || it->second.mCaller->IsDisconnected()) {
    co_return;
  }
  TimePoint deadline = mKernel.GetClock().Now() + kCallTimeout;
  auto view = co_await Find(aName, deadline);
  if (!Ok(view)) {
    co_return;
  }
  std::uint64_t tries = std::get<JobView>(view).mJob.mTries;
  auto state = std::visit(StateAfterOutcome{ aRepeatable, tries }, aOutcome);
  if (!state) {
    co_return;
  }
  LogInfo(kPart,
          "job {} is {} after outcome {}",
          aName,
          ToString(*state),
          OutcomeName(aOutcome));
  co_await WriteState(aName, *state, deadline);
}

// Writes a job's state. A job that is queued again releases its claim, so that
// an answer of the earlier attempt is no longer accepted.
Task<Expected<Revision>>
JobService::WriteState(std::string aName, JobState aState, TimePoint aDeadline)
{
  auto read = co_await mTable->Read(aName, aDeadline);
  if (!Ok(read)) {
    co_return std::get<Failure>(std::move(read));
  }
  const std::optional<Row>& row = std::get<RowRead>(read).mRow;
  if (!row) {
    co_return Failure(NotFound{ aName });
  }
  auto decoded = ToExpected<Job>([&] { return DecodeJob(row->mValue); });
  if (!Ok(decoded)) {
    co_return std::get<Failure>(std::move(decoded));
  }
  Job job = std::get<Job>(std::move(decoded));
  bool failed = job.mState == JobState::Failed;
  if (IsFinal(job.mState) && !failed) {
    co_return Failure(
      StateConflict{ "the job is " + std::string(ToString(job.mState)) });
  }
  job.mState = aState;
  if (aState == JobState::Queued && job.mClaim) {
    job.mClaim->mClaim.mState = ClaimState::Released;
  }
  CommitRows commit;
  commit.mWrites.push_back({ aName, EncodeJob(job), row->mRevision, false });
  auto written = co_await mTable->Commit(std::move(commit), aDeadline);
  co_return written;
}

Task<Expected<std::string>>
JobService::Submit(Request aRequest, TimePoint aDeadline)
{
  const std::string& dataCentre = mMembers->Self().mDataCentre;
  std::string name = JobKey(dataCentre, aRequest.mKey);
  Job job;
  job.mDataCentre = dataCentre;
  job.mPool = std::move(aRequest.mPool);
  job.mOperation = std::move(aRequest.mOperation);
  job.mTeam = std::move(aRequest.mTeam);
  job.mBody = std::move(aRequest.mBody);
  job.mDeclared = aRequest.mDeclaredRunTime;
  CommitRows commit;
  commit.mWrites.push_back({ name, EncodeJob(job), Revision{}, false });
  auto written = co_await mTable->Commit(std::move(commit), aDeadline);
  if (Ok(written)) {
    co_return name;
  }
  Failure failure = std::get<Failure>(std::move(written));
  bool exists = std::holds_alternative<CommitConflict>(failure);
  co_return exists ? Expected<std::string>(name)
                   : Expected<std::string>(failure);
}

Task<Expected<JobView>>
JobService::Find(std::string aName, TimePoint aDeadline)
{
  if (!IsJobKey(aName)) {
    co_return Failure(NotFound{ std::move(aName) });
  }
  auto read = co_await mTable->Read(aName, aDeadline);
  if (!Ok(read)) {
    co_return std::get<Failure>(std::move(read));
  }
  const std::optional<Row>& row = std::get<RowRead>(read).mRow;
  if (!row) {
    co_return Failure(NotFound{ std::move(aName) });
  }
  auto job = ToExpected<Job>([&] { return DecodeJob(row->mValue); });
  if (!Ok(job)) {
    co_return std::get<Failure>(std::move(job));
  }
  JobView view{ std::move(aName), std::get<Job>(std::move(job)), {} };
  if (!view.mJob.mAnswerObject.empty()) {
    auto object =
      co_await mTable->GetObjectBytes(view.mJob.mAnswerObject, aDeadline);
    if (!Ok(object)) {
      co_return std::get<Failure>(std::move(object));
    }
    view.mAnswer = std::get<std::string>(std::move(object));
  } else if (view.mJob.mClaim) {
    view.mAnswer = view.mJob.mClaim->mClaim.mAnswer;
  }
  co_return view;
}

Task<Expected<JobView>>
JobService::Cancel(std::string aName, TimePoint aDeadline)
{
  if (!IsJobKey(aName)) {
    co_return Failure(NotFound{ std::move(aName) });
  }
  auto written = co_await WriteState(aName, JobState::Cancelled, aDeadline);
  if (!Ok(written)) {
    co_return std::get<Failure>(std::move(written));
  }
  auto view = co_await Find(std::move(aName), aDeadline);
  co_return view;
}

} // namespace buckthornshunt
