// Cost of a cell's decisions for one run of a task: planned, started, listed as
// ended and committed, in a full pool with tasks waiting.

#include "decide/cell.h"
#include "bench/report.h"

#include <chrono>
#include <string>
#include <variant>

namespace buckthornshunt::bench {

namespace {

constexpr int kTasksOfJob = 8;
constexpr int kMillisOfTask = 3100;
constexpr Duration kRunTime = std::chrono::milliseconds(540);
constexpr Duration kPass = std::chrono::milliseconds(10);

/// A cell whose workers do what they are told, in the cell's own time.
class FullPool
{
public:
  FullPool(int aWorkers, int aWaitingJobs)
    : mCell(CellDurations{}, FencingToken(1), 1, mNow)
    , mWaitingJobs(aWaitingJobs)
  {
    WorkloadConfig config;
    config.mVersion = ConfigVersion(1);
    QueueConfig queue;
    queue.mName = "queue";
    queue.mPool = "pool";
    queue.mTargetStretch = 1e6;
    config.mQueues.push_back(queue);
    mCell.SetConfig(config, "pool");
    for (int i = 0; i < aWorkers; ++i) {
      WorkerReport report;
      report.mId = "i-" + std::to_string(i);
      report.mPool = "pool";
      report.mEndpoint = { "127.0.0.1", 1 };
      report.mCapacity = { 32000, 131072, 0 };
      report.mRack = "r" + std::to_string(i / 20);
      report.mIncarnation = 1;
      mReports.push_back(report);
    }
    mCell.SetWorkers(mReports, mNow);
    for (const WorkerReport& report : mReports) {
      mCell.OnListing(report.mId, { 0, 1, {}, {} }, mNow, mNow);
    }
    Commit();
  }

  // Submits one more job to the full pool, as a caller does in a burst.
  void SubmitInOverload() { HandIn(); }

  // One pass: ends are listed, jobs come, starts go out.
  int Pass()
  {
    mNow += kPass;
    EndDue();
    while (mHandedIn - mEndedTasks / kTasksOfJob <
           mWaitingJobs + static_cast<int>(mReports.size())) {
      HandIn();
    }
    Commit();
    int starts = 0;
    for (const CellOrder& order : mCell.Plan(mNow, {})) {
      const auto* start = std::get_if<StartRun>(&order.mCall);
      if (start == nullptr) {
        continue;
      }
      mCell.OnOrderReply(
        order.mWorker, order.mCall, WorkerReply(OrderDone{}), mNow);
      mRunning[order.mWorker].push_back({ start->mTask, start->mRun, mNow });
      ++starts;
    }
    return starts;
  }

private:
  struct Running
  {
    TaskId mTask;
    std::uint64_t mRun;
    TimePoint mSince;
  };

  void HandIn()
  {
    JobSpec spec;
    StepSpec step;
    step.mTaskCount = kTasksOfJob;
    step.mTaskResources = { kMillisOfTask, 5100, 0 };
    step.mEstimatedRunTime = kRunTime;
    spec.mSteps.push_back(step);
    mCell.Submit(
      { "job" + std::to_string(mHandedIn++), "queue", std::move(spec), {} },
      mNow);
  }

  void EndDue()
  {
    for (auto& [worker, runs] : mRunning) {
      WorkerStatus listing{ 0, 1, {}, {} };
      std::vector<Running> left;
      for (Running& run : runs) {
        if (mNow >= run.mSince + kRunTime) {
          listing.mEndedRuns.push_back(
            { ++mEnds[worker], run.mTask, run.mRun, RunEnd::Done, "" });
          ++mEndedTasks;
        } else {
          listing.mActiveRuns.push_back({ run.mTask, run.mRun, "", 100, {} });
          left.push_back(std::move(run));
        }
      }
      runs = std::move(left);
      if (!listing.mEndedRuns.empty()) {
        mCell.OnListing(worker, listing, mNow, mNow);
      }
    }
  }

  void Commit()
  {
    CellChanges changes = mCell.TakeChanges(mNow);
    while (!changes.Empty()) {
      mCell.OnCommitted(changes, mNow);
      changes = mCell.TakeChanges(mNow);
    }
    mCell.OnCommitted(changes, mNow);
  }

  TimePoint mNow{ std::chrono::seconds(100) };
  Cell mCell;
  int mWaitingJobs;
  std::vector<WorkerReport> mReports;
  std::map<std::string, std::vector<Running>> mRunning;
  std::map<std::string, std::uint64_t> mEnds;
  int mHandedIn = 0;
  int mEndedTasks = 0;
};

double
MicrosecondsOfRun(int aWorkers, int aWaitingJobs)
{
  constexpr int kPasses = 200;
  FullPool pool(aWorkers, aWaitingJobs);
  for (int i = 0; i < kPasses; ++i) {
    pool.Pass();
  }
  int starts = 0;
  auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < kPasses; ++i) {
    starts += pool.Pass();
  }
  auto took = std::chrono::steady_clock::now() - from;
  return std::chrono::duration<double, std::micro>(took).count() / starts;
}

double
MicrosecondsOfSubmission(int aWorkers, int aWaitingJobs)
{
  constexpr int kPasses = 200;
  constexpr int kSubmissions = 200;
  FullPool pool(aWorkers, aWaitingJobs);
  for (int i = 0; i < kPasses; ++i) {
    pool.Pass();
  }
  auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < kSubmissions; ++i) {
    pool.SubmitInOverload();
  }
  auto took = std::chrono::steady_clock::now() - from;
  return std::chrono::duration<double, std::micro>(took).count() / kSubmissions;
}

} // namespace

void
MeasureCell(Report& aReport)
{
  struct Size
  {
    int mWorkers;
    int mWaitingJobs;
  };
  constexpr Size kSizes[] = {
    { 12, 12 }, { 85, 12 }, { 85, 125 }, { 350, 125 }
  };
  for (const Size& size : kSizes) {
    std::string pool = std::to_string(size.mWorkers) + "_workers_" +
                       std::to_string(size.mWaitingJobs) + "_jobs";
    aReport.Add({ "cell_run_us_" + pool,
                  MicrosecondsOfRun(size.mWorkers, size.mWaitingJobs),
                  "us",
                  {},
                  {},
                  Want::Nothing,
                  1 });
    aReport.Add({ "cell_submission_us_" + pool,
                  MicrosecondsOfSubmission(size.mWorkers, size.mWaitingJobs),
                  "us",
                  {},
                  {},
                  Want::Nothing,
                  1 });
  }
}

} // namespace buckthornshunt::bench
