// Stand-in of one executor, as the platform's pages describe it.
// A task's spec says what it does: "ms=N" runs N ms, without it until it is
// stopped; with "fails" the first run of each task here ends "failed"; with
// "gang=N" the N tasks of a step work only together.
#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <vector>

using Json = nlohmann::json;

namespace {

struct Run
{
  std::string mTask;
  std::uint64_t mRun;
  /// End on our clock; -1 for a task that lasts.
  std::int64_t mEndsAt;
  bool mFails = false;
  /// Size of its gang; 0 for a task that works alone.
  int mGang = 0;
  std::int64_t mStartedAt = 0;
  std::int64_t mWorkMs = 0;
  std::string mSaved = {};
};

std::mutex gMutex;
std::condition_variable gChanged;
std::int64_t gStart = NowMs();
std::int64_t gBorn = WallMs();
std::int64_t gUntil = 0;
std::uint64_t gToken = 0;
std::uint64_t gNextEnd = 1;
std::vector<Run> gRuns;
std::vector<Json> gEnds;
std::map<std::string, std::uint64_t> gForbidden;
Address gPlatform;
std::string gId, gPool, gMachine, gRack, gZone, gListen;
std::int64_t gCpu = 32000, gMem = 131072;
std::int64_t gHoldMaxMs = 10000;
std::uint64_t gSeq = 0;
/// Whether a start needs the ticket of the advice service.
bool gTickets = false;

std::int64_t
ClockMs()
{
  return NowMs() - gStart + 1000;
}

/// Tells the test's record what happened here.
void
Note(const Json& aWhat)
{
  Json note = aWhat;
  note["at"] = NowMs();
  note["worker"] = gId;
  note["born"] = gBorn;
  note["pool"] = gPool;
  Call(gPlatform, "POST", "/standin/note", "standin", note.dump(), 2000);
}

Json
Ask(const Json& aWhat)
{
  return Json::parse(
    Call(gPlatform, "POST", "/standin/gang", "standin", aWhat.dump(), 2000)
      .mBody,
    nullptr,
    false);
}

void
End(std::size_t aIndex, const char* aHow)
{
  Run run = gRuns[aIndex];
  gRuns.erase(gRuns.begin() + std::ptrdiff_t(aIndex));
  auto& forbidden = gForbidden[run.mTask];
  forbidden = std::max(forbidden, run.mRun);
  if (run.mGang > 0) {
    Ask({ { "op", "leave" }, { "task", run.mTask }, { "run", run.mRun } });
  }
  Note({ { "what", "end" },
         { "task", run.mTask },
         { "run", run.mRun },
         { "how", aHow },
         { "saved", run.mSaved } });
  gEnds.push_back(
    Json::array({ gNextEnd++, run.mTask, run.mRun, aHow, run.mSaved }));
  gChanged.notify_all();
}

// A gang's members ask the test's driver whether all are there.
void
LookAtGang(std::size_t aIndex)
{
  constexpr std::int64_t kGangTimeoutMs = 3000;
  Run& run = gRuns[aIndex];
  Json state =
    Ask({ { "op", "look" }, { "task", run.mTask }, { "run", run.mRun } });
  if (state.is_discarded()) {
    return;
  }
  if (state.value("together", false)) {
    run.mSaved = state.value("saved", "");
    if (state.value("progress", std::int64_t(0)) >= run.mWorkMs) {
      End(aIndex, "done");
    }
  } else if (state.value("broken", false)) {
    End(aIndex, "broken");
  } else if (NowMs() - run.mStartedAt > kGangTimeoutMs) {
    End(aIndex, "alone");
  }
}

void
RunTasks()
{
  while (true) {
    SleepMs(gRuns.empty() ? 2 : 5);
    std::lock_guard lock(gMutex);
    std::int64_t now = ClockMs();
    for (std::size_t i = gRuns.size(); i-- > 0;) {
      if (now > gUntil) {
        End(i, "lapsed");
      } else if (gRuns[i].mGang > 0) {
        LookAtGang(i);
      } else if (gRuns[i].mEndsAt >= 0 && now >= gRuns[i].mEndsAt) {
        End(i, gRuns[i].mFails ? "failed" : "done");
      }
    }
  }
}

Json
Head()
{
  return { { "clock_ms", ClockMs() }, { "born", gBorn } };
}

Reply
Refuse(const char* aReason)
{
  Json body = Head();
  body["reason"] = aReason;
  return { 409, body.dump() };
}

bool
IsFenced(const Json& aBody)
{
  std::uint64_t token = aBody.value("fencing_token", std::uint64_t(0));
  if (token < gToken) {
    return true;
  }
  gToken = token;
  return false;
}

void
ExtendLease(const Json& aBody)
{
  if (aBody.contains("until_ms")) {
    std::int64_t until = aBody["until_ms"].get<std::int64_t>();
    gUntil = std::max(gUntil, std::min(until, ClockMs() + gHoldMaxMs));
  }
}

Reply
Start(const Json& aBody)
{
  std::lock_guard lock(gMutex);
  if (IsFenced(aBody)) {
    return Refuse("fence");
  }
  std::string task = aBody["task"];
  std::uint64_t number = aBody["run"];
  for (const Run& run : gRuns) {
    if (run.mTask == task && run.mRun == number) {
      ExtendLease(aBody);
      return { 200, Head().dump() };
    }
  }
  ExtendLease(aBody);
  auto forbidden = gForbidden.find(task);
  if (forbidden != gForbidden.end() && number <= forbidden->second) {
    return Refuse("old");
  }
  if (aBody["until_ms"].get<std::int64_t>() <= ClockMs()) {
    return Refuse("late");
  }
  std::string step = task.substr(0, task.rfind('.'));
  if (gTickets && aBody.value("ticket", "") != gId + "/" + step) {
    return Refuse("ticket");
  }
  std::string spec = aBody.value("spec", "");
  std::int64_t ms = -1;
  if (auto at = spec.find("ms="); at != std::string::npos) {
    ms = std::stoll(spec.substr(at + 3));
  }
  bool fails = number == 1 && spec.find("fails") != std::string::npos;
  Run run{ task, number, ms < 0 ? -1 : ClockMs() + ms, fails };
  std::string checkpoint = aBody.value("checkpoint", "");
  if (auto at = spec.find("gang="); at != std::string::npos) {
    run.mGang = std::stoi(spec.substr(at + 5));
    run.mStartedAt = NowMs();
    run.mWorkMs = ms;
    run.mSaved = checkpoint;
    Ask({ { "op", "join" },
          { "task", task },
          { "run", number },
          { "size", run.mGang },
          { "worker", gId },
          { "checkpoint", checkpoint } });
  }
  gRuns.push_back(run);
  Note({ { "what", "start" },
         { "task", task },
         { "run", number },
         { "checkpoint", checkpoint },
         { "token", gToken } });
  return { 200, Head().dump() };
}

Reply
Stop(const Json& aBody)
{
  std::lock_guard lock(gMutex);
  if (IsFenced(aBody)) {
    return Refuse("fence");
  }
  std::string task = aBody["task"];
  std::uint64_t number = aBody["run"];
  auto& forbidden = gForbidden[task];
  forbidden = std::max(forbidden, number);
  for (std::size_t i = gRuns.size(); i-- > 0;) {
    if (gRuns[i].mTask == task && gRuns[i].mRun <= number) {
      End(i, "stopped");
    }
  }
  return { 200, Head().dump() };
}

Reply
Hold(const Json& aBody)
{
  std::unique_lock lock(gMutex);
  if (IsFenced(aBody)) {
    return Refuse("fence");
  }
  ExtendLease(aBody);
  std::uint64_t acked = aBody.value("ack_cursor", std::uint64_t(0));
  std::erase_if(gEnds, [&](const Json& aEnd) {
    return aEnd[0].get<std::uint64_t>() <= acked;
  });
  std::int64_t wait = aBody.value("wait_ms", std::int64_t(0));
  gChanged.wait_for(
    lock, std::chrono::milliseconds(std::min<std::int64_t>(wait, 2000)), [] {
      return !gEnds.empty();
    });
  Json body = Head();
  body["running"] = Json::array();
  for (const Run& run : gRuns) {
    body["running"].push_back(
      Json::array({ run.mTask, run.mRun, run.mSaved, 100, 0 }));
  }
  body["ended"] = Json::array();
  for (std::size_t i = 0; i < gEnds.size() && i < 500; ++i) {
    body["ended"].push_back(gEnds[i]);
  }
  return { 200, body.dump() };
}

Reply
Handle(const Message& aRequest)
{
  if (aRequest.mFirst == "GET" && aRequest.mSecond == "/health") {
    return {};
  }
  std::string expected = aRequest.Field("x-expect-instance");
  if (!expected.empty() && expected != gId) {
    return { 421, "{}" };
  }
  Json body = Json::parse(aRequest.mBody, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return { 400, "{}" };
  }
  if (aRequest.mSecond == "/run-start") {
    return Start(body);
  }
  if (aRequest.mSecond == "/run-stop") {
    return Stop(body);
  }
  if (aRequest.mSecond == "/hold") {
    return Hold(body);
  }
  if (aRequest.mSecond == "/pace") {
    std::lock_guard lock(gMutex);
    return IsFenced(body) ? Refuse("fence") : Reply{ 200, Head().dump() };
  }
  return { 404, "{}" };
}

void
Register()
{
  Json entry = { { "service", gPool },
                 { "address", gListen },
                 { "zone", gZone },
                 { "version", "v1" },
                 { "slots", 8 },
                 { "state", "ready" },
                 { "cold_left_ms", 0 },
                 { "capacity",
                   { { "cpu", gCpu }, { "mem_mb", gMem }, { "gpu", 0 } } },
                 { "labels", { "a", gRack } },
                 { "machine", gMachine },
                 { "clock_ms", ClockMs() },
                 { "born", gBorn },
                 { "seq", ++gSeq } };
  Json call = { { "id", gId }, { "entry", entry } };
  Call(gPlatform, "POST", "/standin/entry", "standin", call.dump(), 2000);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::map<std::string, std::string> options;
  for (int i = 1; i + 1 < aCount; i += 2) {
    options[aArguments[i]] = aArguments[i + 1];
  }
  gPlatform = ParseAddress(options["--platform"]);
  gId = options["--id"];
  gPool = options["--pool"];
  gMachine = options["--machine"];
  gRack = options["--rack"];
  gZone = options["--zone"];
  gListen = options["--listen"];
  gTickets = options["--tickets"] == "yes";
  Serve(ParseAddress(gListen), Handle);
  std::thread(RunTasks).detach();
  // Check-ins of different executors don't stay in step. Ends with its test.
  std::uint32_t random = std::uint32_t(getpid()) * 2654435761U;
  while (getppid() != 1) {
    Register();
    random = random * 1664525U + 1013904223U;
    SleepMs(1300 + random % 400U);
  }
  return 0;
}
