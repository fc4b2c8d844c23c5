// Calls between nodes over real sockets, on a manual clock.

#include "kernel/kernel.h"
#include "services/relay_service.h"
#include "tests/loopback_ports.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <stdexcept>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

namespace {

/// Two nodes; the second answers "slow" calls once mMayAnswer is notified.
class TwoNodes
{
public:
  using Answer = std::optional<Expected<Json>>;

  TwoNodes()
    : mManual(mContext)
    , mKernel(mContext, Clock(mContext, mManual), 1)
    , mPorts(mContext)
    , mCallee(mPorts.Reserve())
    , mFirst(mKernel, mPorts.Reserve())
    , mSecond(mKernel, mCallee)
    , mMayAnswer(mContext)
  {
    mSecond.RegisterHandler("slow", [this](Json, TimePoint) -> Task<Json> {
      ++mCallsReceived;
      co_await mMayAnswer.Wait();
      co_return Json(1);
    });
    mSecond.RegisterHandler(
      "quick", [](Json, TimePoint) -> Task<Json> { co_return Json(2); });
    mSecond.RegisterHandler("throwing", [](Json, TimePoint) -> Task<Json> {
      throw std::runtime_error("unexpected");
      co_return Json();
    });
    REQUIRE(mFirst.Start());
    REQUIRE(mSecond.Start());
  }

  ~TwoNodes()
  {
    bool stopped = false;
    asio::co_spawn(
      mContext, StopBoth(), [&](const std::exception_ptr&) { stopped = true; });
    // A stop waits for calls in hand.
    while (!stopped) {
      mManual.Advance(10ms);
    }
  }

  void Call(std::string aKind, Duration aTimeout, Answer& aAnswer)
  {
    TimePoint deadline = mManual.Now() + aTimeout;
    asio::co_spawn(
      mContext,
      mFirst.Call(mCallee, std::move(aKind), Json(), deadline),
      [&](const std::exception_ptr& aError, Expected<Json> aReply) {
        CHECK_FALSE(aError);
        aAnswer = std::move(aReply);
      });
  }

  template<class Done>
  void RunUntil(Done aDone)
  {
    while (!aDone()) {
      mContext.run_one();
    }
  }

  asio::io_context mContext;
  ManualClock mManual;
  Kernel mKernel;
  LoopbackPorts mPorts;
  Endpoint mCallee;
  RelayService mFirst;
  RelayService mSecond;
  Event mMayAnswer;
  int mCallsReceived = 0;

private:
  Task<void> StopBoth()
  {
    co_await mFirst.Stop();
    co_await mSecond.Stop();
  }
};

} // namespace

TEST_CASE("a call that times out doesn't fail the other calls on its link")
{
  TwoNodes nodes;
  TwoNodes::Answer shortCall;
  TwoNodes::Answer longCall;
  TwoNodes::Answer quick;
  nodes.Call("slow", 1s, shortCall);
  nodes.Call("slow", 9s, longCall);
  nodes.RunUntil([&] { return nodes.mCallsReceived == 2; });
  nodes.mManual.Advance(900ms);
  nodes.Call("quick", 1s, quick);
  nodes.RunUntil([&] { return quick.has_value(); });
  nodes.mManual.Advance(200ms);
  nodes.RunUntil([&] { return shortCall.has_value(); });
  CHECK(std::holds_alternative<TimeoutFailure>(std::get<Failure>(*shortCall)));
  CHECK_FALSE(longCall);
  nodes.mMayAnswer.NotifyAll();
  nodes.RunUntil([&] { return longCall.has_value(); });
  CHECK(Ok(*longCall));
}

TEST_CASE("a silent link is closed and its calls fail")
{
  TwoNodes nodes;
  TwoNodes::Answer shortCall;
  TwoNodes::Answer longCall;
  nodes.Call("slow", 1s, shortCall);
  nodes.Call("slow", 9s, longCall);
  nodes.RunUntil([&] { return nodes.mCallsReceived == 2; });
  nodes.mManual.Advance(1100ms);
  nodes.RunUntil([&] { return shortCall && longCall; });
  CHECK(std::holds_alternative<TimeoutFailure>(std::get<Failure>(*shortCall)));
  CHECK(std::holds_alternative<ConnectionLost>(std::get<Failure>(*longCall)));
}

TEST_CASE("a handler that throws ends only its own call")
{
  TwoNodes nodes;
  TwoNodes::Answer failed;
  TwoNodes::Answer quick;
  nodes.Call("throwing", 500ms, failed);
  nodes.Call("quick", 9s, quick);
  nodes.RunUntil([&] { return quick.has_value(); });
  CHECK(Ok(*quick));
  nodes.mManual.Advance(500ms);
  nodes.RunUntil([&] { return failed.has_value(); });
  CHECK(std::holds_alternative<TimeoutFailure>(std::get<Failure>(*failed)));
}

TEST_CASE("a call at a node that stops ends with its link")
{
  TwoNodes nodes;
  TwoNodes::Answer call;
  nodes.Call("slow", 9s, call);
  nodes.RunUntil([&] { return nodes.mCallsReceived == 1; });
  asio::co_spawn(nodes.mContext, nodes.mSecond.Stop(), asio::detached);
  nodes.mManual.Advance(10ms);
  nodes.mManual.Advance(10ms);
  REQUIRE(call.has_value());
  CHECK(std::holds_alternative<ConnectionLost>(std::get<Failure>(*call)));
}

TEST_CASE("a reply that is ready when its node stops is lost")
{
  TwoNodes nodes;
  TwoNodes::Answer call;
  nodes.Call("slow", 9s, call);
  nodes.RunUntil([&] { return nodes.mCallsReceived == 1; });
  nodes.mMayAnswer.NotifyAll();
  asio::co_spawn(nodes.mContext, nodes.mSecond.Stop(), asio::detached);
  nodes.mManual.Advance(10ms);
  nodes.mManual.Advance(10ms);
  REQUIRE(call.has_value());
  CHECK(Ok(*call));
}
