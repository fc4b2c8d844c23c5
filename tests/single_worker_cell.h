#ifndef BUCKTHORNSHUNT_TESTS_SINGLE_WORKER_CELL_H
#define BUCKTHORNSHUNT_TESTS_SINGLE_WORKER_CELL_H

#include "decide/cell.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornshunt::tests {

inline EndedRun
DoneEnd(std::uint64_t aSequence, std::uint32_t aIndex)
{
  return { aSequence, { "a", 0, 0, aIndex }, 1, RunEnd::Done, "" };
}

/// A cell with one worker whose answers are scripted by the test.
struct SingleWorkerCell
{
  SingleWorkerCell()
    : mCell(CellDurations{}, FencingToken(7), 1, mNow)
  {
    WorkloadConfig config;
    QueueConfig queue;
    queue.mName = "q";
    queue.mPool = "pool";
    queue.mMaxAttempts = 2;
    queue.mTargetStretch = 2;
    queue.mTargetLatency = std::chrono::milliseconds(600);
    config.mQueues.push_back(queue);
    mCell.SetConfig(config, "pool");
    WorkerReport report;
    report.mId = "w";
    report.mPool = "pool";
    report.mEndpoint = { "127.0.0.1", 1 };
    report.mCapacity = { 32000, 100000, 0 };
    report.mIncarnation = 5;
    mReports.push_back(report);
    mCell.SetWorkers(mReports, mNow);
    List({}, {});
    Commit();
  }

  void List(std::vector<ReportedRun> aPresent, std::vector<EndedRun> aEnded)
  {
    ListStatus({ 0, 5, std::move(aPresent), std::move(aEnded) });
  }

  void ListStatus(WorkerStatus aListing)
  {
    mNow += std::chrono::milliseconds(10);
    TimePoint sent = mNow;
    mNow += std::chrono::milliseconds(10);
    aListing.mClockMs = ToMillis(mNow.time_since_epoch());
    mCell.OnListing("w", aListing, sent, mNow);
  }

  /// Adds a worker without runs that equals the first one.
  void AddIdleWorker(std::string_view aId)
  {
    WorkerReport report = mReports[0];
    report.mId = aId;
    report.mIncarnation = 5;
    mReports.push_back(report);
    mCell.SetWorkers(mReports, mNow);
    mCell.OnListing(aId, { 0, 5, {}, {} }, mNow, mNow);
    Commit();
  }

  void Commit()
  {
    CellChanges changes = mCell.TakeChanges(mNow);
    mCell.OnCommitted(changes, mNow);
    mCell.SetNewestToken(FencingToken(++mRevision));
  }

  void Submit(std::string_view aId, JobSpec aSpec)
  {
    mCell.Submit({ std::string(aId), "q", std::move(aSpec), {} }, mNow);
    Commit();
  }

  std::vector<CellOrder> Plan()
  {
    mNow += std::chrono::milliseconds(10);
    return mCell.Plan(mNow, {});
  }

  // Plans, and answers every order as executed.
  std::vector<CellOrder> PlanAndAnswer()
  {
    std::vector<CellOrder> orders = Plan();
    for (const CellOrder& order : orders) {
      mCell.OnOrderReply("w", order.mCall, WorkerReply(OrderDone{ 1 }), mNow);
    }
    return orders;
  }

  std::uint64_t Acknowledged()
  {
    return mCell.NextRenewal("w", Duration::zero(), mNow).mAcknowledgedSequence;
  }

  TimePoint mNow{ std::chrono::seconds(100) };
  /// Of the store; above the cell's token.
  std::uint64_t mRevision = 7;
  std::vector<WorkerReport> mReports;
  Cell mCell;
};

} // namespace buckthornshunt::tests

#endif
