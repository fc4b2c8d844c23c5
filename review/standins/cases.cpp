// The scenarios of the cases: cases NAME RECORD BUILD. Exits with 1 if the rule
// was broken, 0 if it held and 2 if the scenario couldn't run. TROUBLE=0 leaves
// the disruption out.
#include "fleet.h"

#include <cstdlib>

namespace {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCouldNotRun = 2;

bool
Trouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

Json
Step(int aCount, int aCpu, int aEstimateMs)
{
  return { { "count", aCount },
           { "cpu", aCpu },
           { "mem_mb", 256 },
           { "estimate_ms", aEstimateMs } };
}

Json
Job(int aTaskMs, const Json& aSteps)
{
  return { { "spec", "ms=" + std::to_string(aTaskMs) }, { "steps", aSteps } };
}

std::string
StateOf(const Reply& aReply)
{
  Json body = Json::parse(aReply.mBody, nullptr, false);
  return aReply.mStatus == 200 && body.is_object()
           ? body.value("state", "")
           : std::to_string(aReply.mStatus);
}

struct TaskRun
{
  std::string mWorker;
  std::int64_t mBorn = 0;
  std::uint64_t mRun = 0;
  std::int64_t mFrom = 0;
  std::int64_t mTo = -1;
};

/// Runs of each task, as the executors saw them.
std::map<std::string, std::vector<TaskRun>>
RunsByTask(const std::vector<Json>& aEntries, std::int64_t aNow)
{
  std::map<std::string, std::vector<TaskRun>> runs;
  for (const Json& entry : aEntries) {
    std::string what = entry["what"];
    std::int64_t at = entry["at"];
    if (what == "start") {
      runs[entry["task"]].push_back(
        { entry["worker"], entry["born"], entry["run"], at, -1 });
    } else if (what == "end") {
      for (TaskRun& run : runs[entry["task"]]) {
        if (run.mWorker == entry["worker"].get<std::string>() &&
            run.mBorn == entry["born"].get<std::int64_t>() &&
            run.mRun == entry["run"].get<std::uint64_t>() && run.mTo < 0) {
          run.mTo = at;
        }
      }
    } else if (what == "SIGKILL of an executor" || entry.contains("ends")) {
      std::string id = entry.contains("ends") ? entry["ends"] : entry["worker"];
      for (auto& [task, list] : runs) {
        for (TaskRun& run : list) {
          if (run.mWorker == id && run.mTo < 0) {
            run.mTo = at;
          }
        }
      }
    }
  }
  for (auto& [task, list] : runs) {
    for (TaskRun& run : list) {
      run.mTo = run.mTo < 0 ? aNow : run.mTo;
    }
  }
  return runs;
}

/// Tasks of which two runs were at work at the same time; one line for each.
std::vector<std::string>
Overlaps(Fleet& aFleet)
{
  // What the executors' clocks can't tell apart doesn't count.
  constexpr std::int64_t kMinOverlapMs = 5;
  std::vector<std::string> found;
  Record& record = aFleet.GetRecord();
  for (auto& [task, runs] : RunsByTask(record.Entries(), record.Now())) {
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t j = i + 1; j < runs.size(); ++j) {
        std::int64_t both = std::min(runs[i].mTo, runs[j].mTo) -
                            std::max(runs[i].mFrom, runs[j].mFrom);
        if (both >= kMinOverlapMs) {
          found.push_back(
            "task " + task + ": run " + std::to_string(runs[i].mRun) + " on " +
            runs[i].mWorker + " and run " + std::to_string(runs[j].mRun) +
            " on " + runs[j].mWorker + " together for " + std::to_string(both) +
            " ms");
        }
      }
    }
  }
  return found;
}

int
Verdict(Fleet& aFleet, const std::vector<std::string>& aFaults)
{
  for (const std::string& fault : aFaults) {
    aFleet.GetRecord().Add({ { "what", "rule broken" }, { "how", fault } });
    std::cout << fault << "\n";
  }
  std::cout << (aFaults.empty() ? "held" : "broken") << std::endl;
  return aFaults.empty() ? kHeld : kBroken;
}

/// Waits until the executors say that a task runs somewhere.
std::string
AwaitRun(Fleet& aFleet, const std::string& aTask, std::int64_t aPatienceMs)
{
  std::int64_t end = NowMs() + aPatienceMs;
  std::string on;
  while (on.empty() && NowMs() < end) {
    SleepMs(50);
    on = aFleet.RunsOn(aTask);
  }
  return on;
}

/// Submits a job, retrying at other nodes as a client does.
bool
Submit(Fleet& aFleet,
       const std::string& aQueue,
       const std::string& aId,
       const Json& aJob)
{
  std::string path = "/" + aQueue;
  path += "/" + aId;
  for (std::size_t i = 0; i < 8; ++i) {
    Reply reply = aFleet.Client(
      i % aFleet.NodeCount(), "POST", aQueue + ".example", path, aJob);
    if (reply.mStatus == 200) {
      return true;
    }
    SleepMs(500);
  }
  return false;
}

// Two crashes of executors that run the same task; no run ends "failed".
int
Crashes(Fleet& aFleet)
{
  aFleet.SetConfig(Manifest(3,
                            Json::array({ Route("quote", "quoting", 4) }),
                            Json::array({ Service("quoting") })));
  aFleet.AddWorkers("quoting", 9);
  aFleet.AddNodes(3);
  if (!aFleet.WaitReady("quote.example", "/quote/")) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  std::string id = JobId(1);
  if (!Submit(
        aFleet, "quote", id, Job(5000, Json::array({ Step(6, 1800, 5000) })))) {
    return kCouldNotRun;
  }
  std::string task = id + ".0.0.0";
  std::string state;
  std::int64_t end = NowMs() + 75000;
  int crashes = 0;
  while (state != "completed" && state != "failed" && NowMs() < end) {
    if (Trouble() && crashes < 2) {
      std::string on = AwaitRun(aFleet, task, 20000);
      if (!on.empty()) {
        SleepMs(1500);
        if (aFleet.CrashWorker(on)) {
          ++crashes;
          SleepMs(3000);
          aFleet.RestartWorker(on, false);
        }
      }
    }
    SleepMs(500);
    state = StateOf(
      aFleet.Client(1, "GET", "quote.example", "/quote/" + id, nullptr, true));
  }
  Reply last = aFleet.Client(1, "GET", "quote.example", "/quote/" + id);
  int failedEnds = 0;
  for (const Json& entry : aFleet.GetRecord().Entries()) {
    failedEnds += entry["what"] == "end" && entry["how"] == "failed" ? 1 : 0;
  }
  std::vector<std::string> faults;
  if (StateOf(last) == "failed") {
    faults.push_back("job " + id + " is shown as failed after " +
                     std::to_string(crashes) + " crashes of executors and " +
                     std::to_string(failedEnds) +
                     " ends \"failed\"; max_attempts is 4");
  } else if (StateOf(last) != "completed") {
    std::cout << "state at the end: " << StateOf(last) << "\n";
    return kCouldNotRun;
  }
  return Verdict(aFleet, faults);
}

// A manifest sends the queue to another service; then a request for a job that
// was accepted before arrives again.
int
Reroute(Fleet& aFleet)
{
  Json services = Json::array({ Service("quoting"), Service("survey") });
  Json other = Route("signal", "survey", 4);
  Json third = Route("archive", "quoting", 2);
  aFleet.SetConfig(Manifest(
    3, Json::array({ Route("quote", "quoting", 4), other, third }), services));
  aFleet.AddWorkers("quoting", 5);
  aFleet.AddWorkers("survey", 5);
  aFleet.AddNodes(3);
  if (!aFleet.WaitReady("quote.example", "/quote/") ||
      !aFleet.WaitReady("signal.example", "/signal/")) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  std::string id = JobId(1);
  Json job = Job(9000, Json::array({ Step(4, 1800, 9000) }));
  if (!Submit(aFleet, "quote", id, job)) {
    return kCouldNotRun;
  }
  if (Trouble()) {
    aFleet.SetConfig(Manifest(
      5, Json::array({ Route("quote", "survey", 4), other, third }), services));
  }
  SleepMs(3000);
  // The late request.
  if (!Submit(aFleet, "quote", id, job)) {
    return kCouldNotRun;
  }
  SleepMs(14000);
  aFleet.Client(2, "GET", "quote.example", "/quote/" + id);
  return Verdict(aFleet, Overlaps(aFleet));
}

// An executor crashes and starts again at once under the id that it had.
int
SameId(Fleet& aFleet)
{
  aFleet.SetConfig(Manifest(3,
                            Json::array({ Route("quote", "quoting", 4) }),
                            Json::array({ Service("quoting") })));
  aFleet.AddWorkers("quoting", 9);
  aFleet.AddNodes(3);
  if (!aFleet.WaitReady("quote.example", "/quote/")) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  int number = 0;
  int accepted = 0;
  auto submitFor = [&](std::int64_t aMs) {
    std::int64_t end = NowMs() + aMs;
    while (NowMs() < end) {
      std::string id = JobId(++number);
      Reply reply =
        aFleet.Client(std::size_t(number) % 3,
                      "POST",
                      "quote.example",
                      "/quote/" + id,
                      Job(700, Json::array({ Step(1, 1000, 700) })));
      accepted += reply.mStatus == 200 ? 1 : 0;
      SleepMs(100);
    }
  };
  submitFor(3000);
  std::vector<std::string> faults;
  for (int i = 0; i < 15 && faults.empty(); ++i) {
    // The executor that got the latest task.
    std::string on;
    for (const Json& entry : aFleet.GetRecord().Entries()) {
      if (entry["what"] == "start") {
        on = entry["worker"];
      }
    }
    std::thread trouble([&] {
      if (Trouble() && aFleet.CrashWorker(on)) {
        aFleet.RestartWorker(on, true);
      }
    });
    submitFor(5000);
    trouble.join();
    faults = Overlaps(aFleet);
  }
  return accepted == 0 ? kCouldNotRun : Verdict(aFleet, faults);
}

// Twice for 3 s, at the queue's peak, a twentieth of the jobs can never be
// done; then comes a job whose first step takes longer than its estimate.
int
Hopeless(Fleet& aFleet)
{
  aFleet.SetConfig(Manifest(3,
                            Json::array({ Route("quote", "quoting", 4) }),
                            Json::array({ Service("quoting") })));
  aFleet.AddWorkers("quoting", 9);
  aFleet.AddNodes(3);
  if (!aFleet.WaitReady("quote.example", "/quote/")) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  constexpr std::size_t kClients = 3;
  constexpr int kJobs = 46;
  constexpr std::int64_t kSpanMs = 3000;
  constexpr int kEach = 19;
  std::atomic<int> hopeless{ 0 };
  auto client = [&](std::size_t aClient, int aFirst) {
    for (int i = 0; i < kJobs; ++i) {
      int number = aFirst + i * int(kClients) + int(aClient);
      bool never = Trouble() && number % kEach == 0;
      Json steps = Json::array({ Step(1, 500, 200) });
      if (never) {
        steps[0]["requires"] = "no-such-kind";
        steps = Json::array({ steps[0], steps[0], steps[0], steps[0] });
      }
      Reply reply = aFleet.Client(aClient,
                                  "POST",
                                  "quote.example",
                                  "/quote/" + JobId(number),
                                  Job(200, steps));
      hopeless += never && reply.mStatus == 200 ? 1 : 0;
      SleepMs(kSpanMs / kJobs - 12);
    }
  };
  for (int first : { 1000, 2000 }) {
    std::vector<std::thread> clients;
    for (std::size_t k = 0; k < kClients; ++k) {
      clients.emplace_back(client, k, first);
    }
    for (std::thread& thread : clients) {
      thread.join();
    }
    SleepMs(6000);
  }
  aFleet.GetRecord().Add({ { "what", "jobs that can never be done" },
                           { "accepted", hopeless.load() } });
  std::string id = JobId(1);
  Json second = Step(2, 1800, 500);
  second["after"] = { 0 };
  Json job = Job(5800, Json::array({ Step(2, 1800, 500), second }));
  if (!Submit(aFleet, "quote", id, job)) {
    return kCouldNotRun;
  }
  SleepMs(35000);
  Reply last = aFleet.Client(1, "GET", "quote.example", "/quote/" + id);
  std::vector<std::string> faults;
  if (StateOf(last) != "completed") {
    faults.push_back("job " + id + " is " + StateOf(last) +
                     " 35 s after it was accepted; its two steps take 5.8 s "
                     "each, and the pool is idle");
  }
  return Verdict(aFleet, faults);
}

// Only some executors of a pool of 40 may run a queue's tasks.
int
Advice(Fleet& aFleet)
{
  constexpr int kWorkers = 40;
  // The last two racks, or all.
  aFleet.AddAdvice(
    [](const std::string& aId) { return !Trouble() || aId >= "i-132"; });
  Json route = Route("quote", "quoting", 4);
  route["advice"] = { { "decide_ms", 5 },
                      { "each_ms", 1 },
                      { "valid_ms", 3000 } };
  aFleet.SetConfig(
    Manifest(3, Json::array({ route }), Json::array({ Service("quoting") })));
  aFleet.AddWorkers("quoting", kWorkers);
  aFleet.AddNodes(3);
  if (!aFleet.WaitReady("quote.example", "/quote/")) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  std::string id = JobId(1);
  if (!Submit(
        aFleet, "quote", id, Job(500, Json::array({ Step(4, 1800, 500) })))) {
    return kCouldNotRun;
  }
  SleepMs(30000);
  Reply last = aFleet.Client(1, "GET", "quote.example", "/quote/" + id);
  std::vector<std::string> faults;
  if (StateOf(last) != "completed") {
    faults.push_back(
      "job " + id + " is " + StateOf(last) +
      " 30 s after it was accepted, and 8 idle executors may run it");
  }
  return Verdict(aFleet, faults);
}

constexpr int kExecutorMemoryMb = 131072;
constexpr int kLastingMemoryMb = 41000;

/// Room for tasks of kLastingMemoryMb on the executors of a pool that are up.
int
RoomAt(const std::vector<Json>& aEntries,
       const std::string& aPool,
       std::int64_t aAt)
{
  std::map<std::string, int> runs;
  for (const Json& entry : aEntries) {
    std::string what = entry["what"];
    if (entry["at"].get<std::int64_t>() > aAt) {
      continue;
    }
    if (what == "executor started" &&
        entry["pool"].get<std::string>() == aPool) {
      runs[entry["worker"]] = 0;
    } else if (entry.contains("ends")) {
      runs.erase(entry["ends"].get<std::string>());
    } else if (what == "start" || what == "end") {
      auto it = runs.find(entry["worker"].get<std::string>());
      if (it != runs.end()) {
        it->second += what == "start" ? 1 : -1;
      }
    }
  }
  int room = 0;
  for (const auto& [worker, n] : runs) {
    room += kExecutorMemoryMb / kLastingMemoryMb - n;
  }
  return room;
}

// Executors full of tasks that last, by memory, and a wave of upkeep.
int
Wave(Fleet& aFleet)
{
  // With as many spare machines the pool keeps its six as standby.
  constexpr int kExecutors = 6;
  constexpr int kSpare = 12;
  constexpr int kTasks = 6;
  constexpr std::int64_t kWatchMs = 50000;
  aFleet.AllowMoves();
  aFleet.SetConfig(
    Manifest(3,
             Json::array({ Route("archive", "quoting", 2, 2500) }),
             Json::array({ Service("quoting"), Service("misc", true) })));
  aFleet.AddWorkers("quoting", kExecutors);
  aFleet.AddSpare("misc", kSpare);
  aFleet.AddNodes(3);
  if (!aFleet.WaitReady("archive.example", "/archive/")) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  std::set<std::string> tasks;
  for (int i = 1; i <= 3; ++i) {
    Json step = Step(kTasks, 2600, 500);
    step["mem_mb"] = kLastingMemoryMb;
    step["long_running"] = true;
    step["may_miss"] = 1;
    Json job = { { "spec", "lasts" }, { "steps", { step } } };
    if (!Submit(aFleet, "archive", JobId(i), job)) {
      return kCouldNotRun;
    }
    for (int k = 0; k < kTasks; ++k) {
      tasks.insert(JobId(i) + ".0.0." + std::to_string(k));
    }
    SleepMs(1500);
  }
  for (const std::string& task : tasks) {
    if (AwaitRun(aFleet, task, 10000).empty()) {
      return kCouldNotRun;
    }
  }
  SleepMs(5000);
  Record& record = aFleet.GetRecord();
  std::int64_t began = record.Now();
  if (Trouble()) {
    Json wave = { { "wave", 1 },
                  { "machines", { "m-100", "m-102", "m-104" } },
                  { "deadline_s", 27 },
                  { "maximum", 2 } };
    aFleet.GetStore().Put("op", "wave/1", wave.dump());
    record.Add({ { "what", "wave" }, { "order", wave } });
  }
  SleepMs(kWatchMs);
  std::int64_t now = record.Now();
  std::vector<Json> entries = record.Entries();
  // Nothing at work from 6 s after the last run on, and room twice over for 3
  // s.
  std::vector<std::string> faults;
  auto runs = RunsByTask(entries, now);
  for (const std::string& task : tasks) {
    std::int64_t calm = 0;
    for (std::int64_t at = began; at < now; at += 250) {
      bool atWork = false;
      std::int64_t last = 0;
      for (const TaskRun& run : runs[task]) {
        atWork = atWork || (run.mFrom <= at && at < run.mTo);
        last = run.mTo <= at ? std::max(last, run.mTo) : last;
      }
      bool lost =
        !atWork && at > last + 6000 && RoomAt(entries, "quoting", at) >= 2;
      calm = lost ? calm + 250 : 0;
      if (calm == 3000) {
        faults.push_back("task " + task + " is to last and doesn't run " +
                         std::to_string((at - last) / 1000) +
                         " s after its last run, with room for " +
                         std::to_string(RoomAt(entries, "quoting", at)) +
                         " of its kind in the pool");
      }
    }
  }
  return Verdict(aFleet, faults);
}

// An executor that runs a member of a gang crashes.
int
GangCrash(Fleet& aFleet)
{
  constexpr int kWorkMs = 9000;
  Fleet::SetGangWork(kWorkMs);
  aFleet.SetConfig(Manifest(3,
                            Json::array({ Route("quote", "quoting", 4) }),
                            Json::array({ Service("quoting") })));
  aFleet.AddWorkers("quoting", 9);
  aFleet.AddNodes(3);
  if (!aFleet.WaitReady("quote.example", "/quote/")) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  std::string id = JobId(1);
  Json step = Step(4, 1800, kWorkMs);
  step["gang"] = true;
  step["checkpointing"] = true;
  step["anti_affinity"] = 1;
  Json job = Job(kWorkMs, Json::array({ step }));
  job["spec"] = "ms=" + std::to_string(kWorkMs) + " gang=4";
  if (!Submit(aFleet, "quote", id, job)) {
    return kCouldNotRun;
  }
  std::string on = AwaitRun(aFleet, id + ".0.0.2", 5000);
  if (Trouble()) {
    SleepMs(4150);
    if (!aFleet.CrashWorker(on)) {
      return kCouldNotRun;
    }
    SleepMs(3000);
    aFleet.RestartWorker(on, false);
  }
  SleepMs(60000);
  Reply last = aFleet.Client(1, "GET", "quote.example", "/quote/" + id);
  int alone = 0;
  for (const Json& entry : aFleet.GetRecord().Entries()) {
    alone += entry["what"] == "end" && entry["how"] == "alone" ? 1 : 0;
  }
  std::vector<std::string> faults;
  if (StateOf(last) != "completed") {
    faults.push_back("job " + id + " is " + StateOf(last) +
                     " 60 s after the crash; " + std::to_string(alone) +
                     " runs ended \"alone\"");
  }
  return Verdict(aFleet, faults);
}

// A route is removed and added again; meanwhile a task fails once.
int
Dropped(Fleet& aFleet)
{
  Json services = Json::array({ Service("quoting") });
  Json other = Route("archive", "quoting", 2);
  Json all = Json::array({ Route("quote", "quoting", 4), other });
  aFleet.SetConfig(Manifest(3, all, services));
  aFleet.AddWorkers("quoting", 9);
  aFleet.AddNodes(3);
  if (!aFleet.WaitReady("quote.example", "/quote/")) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  std::string id = JobId(1);
  Json job = Job(6000, Json::array({ Step(4, 1800, 6000) }));
  job["spec"] = "ms=6000 fails";
  if (!Submit(aFleet, "quote", id, job)) {
    return kCouldNotRun;
  }
  SleepMs(1500);
  if (Trouble()) {
    aFleet.SetConfig(Manifest(5, Json::array({ other }), services));
  }
  SleepMs(10000);
  aFleet.SetConfig(Manifest(8, all, services));
  SleepMs(15000);
  Reply last = aFleet.Client(1, "GET", "quote.example", "/quote/" + id);
  std::vector<std::string> faults;
  if (StateOf(last) != "completed") {
    faults.push_back(
      "job " + id + " is shown as " + StateOf(last) +
      " though each task has failed once at most; max_attempts is 4");
  }
  return Verdict(aFleet, faults);
}

// A manifest sends a queue to another service while jobs of it wait.
int
Waiting(Fleet& aFleet)
{
  Json services = Json::array({ Service("quoting"), Service("survey") });
  Json other = Route("signal", "survey", 4);
  Json third = Route("archive", "quoting", 2);
  aFleet.SetConfig(Manifest(
    3, Json::array({ Route("quote", "quoting", 4), other, third }), services));
  aFleet.AddWorkers("quoting", 5);
  aFleet.AddWorkers("survey", 5);
  aFleet.AddNodes(3);
  if (!aFleet.WaitReady("quote.example", "/quote/") ||
      !aFleet.WaitReady("signal.example", "/signal/")) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  int accepted = 0;
  for (int i = 0; i < 12; ++i) {
    Json step = Step(1, 500, 500);
    step["requires"] = "no-such-kind";
    accepted += aFleet.Client(std::size_t(i) % 3,
                              "POST",
                              "quote.example",
                              "/quote/" + JobId(1000 + i),
                              Job(500, Json::array({ step })))
                      .mStatus == 200
                  ? 1
                  : 0;
  }
  SleepMs(6000);
  for (std::size_t i = 0; i < 3; ++i) {
    aFleet.Client(i, "GET", "quote.example", "/quote/");
  }
  if (Trouble()) {
    aFleet.SetConfig(Manifest(
      5, Json::array({ Route("quote", "survey", 4), other, third }), services));
  }
  SleepMs(8000);
  std::vector<std::string> faults;
  for (std::size_t i = 0; i < 3; ++i) {
    Reply reply = aFleet.Client(i, "GET", "quote.example", "/quote/");
    Json body = Json::parse(reply.mBody, nullptr, false);
    int waiting = reply.mStatus == 200 ? body.value("waiting", -1) : -1;
    if (waiting >= 0 && 2 * waiting < accepted) {
      faults.push_back("a node gives " + std::to_string(waiting) + " of " +
                       std::to_string(accepted) + " jobs as waiting");
    }
  }
  return accepted == 0 ? kCouldNotRun : Verdict(aFleet, faults);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return kCouldNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  std::map<std::string, int (*)(Fleet&)> cases = {
    { "crashes", Crashes },   { "reroute", Reroute }, { "same-id", SameId },
    { "hopeless", Hopeless }, { "waiting", Waiting }, { "advice", Advice },
    { "dropped", Dropped },   { "gang", GangCrash },  { "wave", Wave }
  };
  auto it = cases.find(aArguments[1]);
  if (it == cases.end()) {
    return kCouldNotRun;
  }
  // Never destroyed, since threads of its servers still run at the end.
  auto* fleet = new Fleet(aArguments[2], aArguments[3]);
  int status = it->second(*fleet);
  fleet->Shutdown();
  std::cout.flush();
  _exit(status);
}
