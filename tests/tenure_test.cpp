// Claims, renewals and commits of a cell's owner, on the paused clock.

#include "fake_store.h"
#include "kernel/kernel.h"
#include "services/owner_service.h"
#include "services/tenure.h"
#include "wire/cell_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

struct World
{
  World()
    : mManual(mContext)
    , mKernel(mContext, Clock(mContext, mManual), 1)
    , mFake(mKernel.GetClock())
    , mStore(mFake.Port())
  {
  }

  template<class Value>
  std::optional<Value> Run(Task<Value> aTask, Duration aFor = 5s)
  {
    std::optional<Value> result;
    asio::co_spawn(mContext,
                   std::move(aTask),
                   [&](const std::exception_ptr& aError, Value aValue) {
                     CHECK_FALSE(aError);
                     result = std::move(aValue);
                   });
    mManual.Advance(aFor);
    return result;
  }

  std::unique_ptr<Tenure> Claim(std::string_view aNode)
  {
    LocalNode self{ std::string(aNode),
                    { "127.0.0.1", 1 },
                    Incarnation(++mNext) };
    auto it = mFake.mRows.find({ "cells", "c", "owner" });
    std::optional<OwnerObservation> before;
    if (it != mFake.mRows.end()) {
      auto row =
        ToExpected<OwnerRow>([&] { return DecodeOwnerRow(it->second.mValue); });
      before =
        OwnerObservation{ std::get<OwnerRow>(row), it->second.mRevision, {} };
    }
    std::optional<OwnerObservation> seen;
    auto claim = Run(ClaimCell(mKernel, mStore, "c", self, before, seen));
    REQUIRE(claim);
    REQUIRE(*claim);
    return std::make_unique<Tenure>(mKernel,
                                    mStore,
                                    "c",
                                    (*claim)->mRow,
                                    (*claim)->mRevision,
                                    mKernel.GetClock().Now());
  }

  asio::io_context mContext;
  ManualClock mManual;
  Kernel mKernel;
  FakeStore mFake;
  Store mStore;
  std::uint64_t mNext = 0;
};

ConditionalCommit
OneRow(std::string_view aValue)
{
  ConditionalCommit rows;
  rows.mPuts.push_back({ { "jobs", "c", "j" }, std::string(aValue) });
  return rows;
}

} // namespace

TEST_CASE("a commit whose answer is lost takes effect once")
{
  World world;
  auto tenure = world.Claim("n");
  world.mFake.mLoseAnswers = 1;
  int before = world.mFake.mCommits;
  auto ok = world.Run(tenure->Commit(OneRow("v"), false));
  CHECK(ok == true);
  CHECK(world.mFake.mCommits == before + 1);
  CHECK_FALSE(tenure->Lost());
}

TEST_CASE("a claim whose answer is lost is settled by the row")
{
  World world;
  world.mFake.mLoseAnswers = 1;
  auto tenure = world.Claim("n");
  auto ok = world.Run(tenure->Commit(OneRow("v"), false));
  CHECK(ok == true);
}

TEST_CASE("an earlier owner can commit nothing")
{
  World world;
  auto first = world.Claim("n");
  auto second = world.Claim("m");
  auto ok = world.Run(first->Commit(OneRow("old"), false));
  CHECK(ok == false);
  CHECK(first->Lost());
  CHECK_FALSE(world.mFake.mRows.contains({ "jobs", "c", "j" }));
  CHECK(second->Token() > first->Token());
}

TEST_CASE("an owner that can't renew stops acting within its lease")
{
  World world;
  auto tenure = world.Claim("n");
  CHECK(tenure->MayAct());
  world.mFake.mSilent = true;
  world.mManual.Advance(kOwnerLeaseDuration);
  CHECK_FALSE(tenure->MayAct());
  CHECK_FALSE(tenure->Lost());
}

TEST_CASE("a commit that the store doesn't answer shows as late")
{
  World world;
  auto tenure = world.Claim("n");
  world.Run(tenure->Commit(OneRow("v"), false), 100ms);
  CHECK_FALSE(tenure->CommitIsLate());
  world.mFake.mSilent = true;
  world.Run(tenure->Commit(OneRow("w"), false), 300ms);
  CHECK_FALSE(tenure->CommitIsLate());
  world.mManual.Advance(100ms);
  CHECK(tenure->CommitIsLate());
  // Nothing is promised any more while the lease still holds.
  CHECK(tenure->MayAct());
  world.mFake.mSilent = false;
  world.mManual.Advance(3s);
  CHECK_FALSE(tenure->CommitIsLate());
}

TEST_CASE("an owner goes on after an outage in which nobody took its cell")
{
  World world;
  auto tenure = world.Claim("n");
  world.mFake.mRefuse = 20;
  auto ok = world.Run(tenure->Commit(OneRow("v"), false), 10s);
  CHECK(ok == true);
  CHECK(world.mFake.mRows.contains({ "jobs", "c", "j" }));
}

TEST_CASE("a release that gives up leaves the lease to run out")
{
  World world;
  auto tenure = world.Claim("n");
  world.mFake.mSilent = true;
  ConditionalCommit nothing;
  auto ok = world.Run(tenure->Commit(std::move(nothing), true), 10s);
  CHECK(ok == false);
}

TEST_CASE("watching owners begins anew after a time without reads")
{
  World world;
  auto tenure = world.Claim("m");
  OwnerService owners(
    world.mKernel, world.mStore, { "n", { "127.0.0.1", 2 }, Incarnation(9) });
  owners.Watch("c");
  REQUIRE(owners.Start());
  world.mManual.Advance(1s);
  REQUIRE(owners.Sighting("c") != nullptr);
  world.mFake.mSilent = true;
  world.mManual.Advance(10s);
  world.mFake.mSilent = false;
  world.mManual.Advance(2500ms);
  TimePoint now = world.mKernel.GetClock().Now();
  CHECK(EvaluateOwnership(*owners.Sighting("c"), owners.Self(), now) ==
        OwnershipState::Held);
  world.mManual.Advance(5s);
  now = world.mKernel.GetClock().Now();
  CHECK(EvaluateOwnership(*owners.Sighting("c"), owners.Self(), now) ==
        OwnershipState::Free);
  world.Run([](OwnerService& aOwners) -> Task<int> {
    co_await aOwners.Stop();
    co_return 0;
  }(owners));
}
