// Cost of one placement decision at three numbers of workers.

#include "decide/placement.h"
#include "bench/report.h"

#include <chrono>
#include <deque>
#include <string>

namespace buckthornshunt::bench {

namespace {

constexpr int kSlots = 8;
constexpr int kDecisions = 2'000'000;

// Time of a pick, a begin and an end, with three quarters of the slots taken.
double
NanosecondsAt(std::size_t aServers)
{
  PoolServers servers;
  Rng rng(1);
  for (std::size_t i = 0; i < aServers; ++i) {
    ServerIndex server = servers.Add();
    servers.SetShare(server, { kSlots, kSlots });
    servers.SetUsable(server, true);
  }
  std::deque<ServerIndex> running;
  for (std::size_t i = 0; i < aServers * kSlots * 3 / 4; ++i) {
    ServerIndex server = *servers.Pick(WorkClass::Short, {}, rng);
    servers.Begin(server, WorkClass::Short);
    running.push_back(server);
  }
  auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    ServerIndex server = *servers.Pick(WorkClass::Short, {}, rng);
    servers.Begin(server, WorkClass::Short);
    running.push_back(server);
    servers.End(running.front(), WorkClass::Short);
    running.pop_front();
  }
  auto took = std::chrono::steady_clock::now() - from;
  return std::chrono::duration<double, std::nano>(took).count() / kDecisions;
}

} // namespace

void
MeasurePlacement(Report& aReport)
{
  double atTen = NanosecondsAt(10);
  aReport.Add({ "place_ns_10", atTen, "ns", {}, {}, Want::Nothing, 1 });
  aReport.Add(
    { "place_ns_100", NanosecondsAt(100), "ns", atTen, {}, Want::Nothing, 1 });
  aReport.Add({ "place_ns_810",
                NanosecondsAt(810),
                "ns",
                atTen,
                4 * atTen,
                Want::AtMost,
                1 });
}

} // namespace buckthornshunt::bench
