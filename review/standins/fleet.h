// A small deployment on loopback: the platform's store and machine service in
// this process, executors and daemons as processes of their own.
#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include "http.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <mutex>
#include <set>
#include <vector>

using Json = nlohmann::json;

/// What clients sent and were answered, and what executors ran.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : mFile(aFile)
    , mStart(NowMs())
  {
  }
  void Add(Json aEntry)
  {
    std::lock_guard lock(mMutex);
    if (!aEntry.contains("at")) {
      aEntry["at"] = NowMs();
    }
    aEntry["at"] = aEntry["at"].get<std::int64_t>() - mStart;
    mFile << aEntry.dump() << std::endl;
    mEntries.push_back(std::move(aEntry));
  }
  std::vector<Json> Entries() const
  {
    std::lock_guard lock(mMutex);
    return mEntries;
  }
  std::int64_t Now() const { return NowMs() - mStart; }

private:
  mutable std::mutex mMutex;
  std::ofstream mFile;
  std::int64_t mStart;
  std::vector<Json> mEntries;
};

/// The platform's metadata store.
class Store
{
public:
  /// Writes as the operator or an executor does.
  std::uint64_t Put(const std::string& aTable,
                    const std::string& aKey,
                    const std::string& aValue)
  {
    std::lock_guard lock(mMutex);
    Set({ aTable, "", aKey }, Encode(aValue));
    return mVersion;
  }

  void Remove(const std::string& aTable, const std::string& aKey)
  {
    std::lock_guard lock(mMutex);
    Drop({ aTable, "", aKey });
  }

  std::vector<std::string> Keys(const std::string& aTable)
  {
    std::lock_guard lock(mMutex);
    std::vector<std::string> keys;
    for (const auto& [name, row] : mRows) {
      if (name.mTable == aTable) {
        keys.push_back(name.mKey);
      }
    }
    return keys;
  }

  /// Node that owns a cell, from its row; for the record only.
  std::size_t RefusedTooLarge() const { return mTooLarge; }

  Reply Handle(const Message& aRequest)
  {
    std::string path = aRequest.mSecond.substr(0, aRequest.mSecond.find('?'));
    if (path == "/rows-tx") {
      return Transact(aRequest.mBody);
    }
    auto query = Query(aRequest.mSecond);
    if (path == "/rows-get") {
      return Get(query);
    }
    if (path == "/rows-feed") {
      return Feed(query);
    }
    return { 404, "{}" };
  }

private:
  struct Name
  {
    std::string mTable, mPart, mKey;
    auto operator<=>(const Name&) const = default;
  };
  struct Row
  {
    std::string mValue;
    std::uint64_t mVer = 0;
  };

  static std::string Encode(const std::string& aBytes)
  {
    static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < aBytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group = group << 8U |
                (i + j < aBytes.size() ? std::uint8_t(aBytes[i + j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text +=
          i + j > aBytes.size() ? '=' : digits[(group >> (18 - 6 * j)) & 63U];
      }
    }
    return text;
  }

  static std::map<std::string, std::string> Query(const std::string& aTarget)
  {
    std::map<std::string, std::string> query;
    auto at = aTarget.find('?');
    while (at != std::string::npos) {
      auto next = aTarget.find('&', at + 1);
      std::string item = aTarget.substr(at + 1, next - at - 1);
      auto equals = item.find('=');
      std::string value;
      for (std::size_t i = equals + 1; i < item.size(); ++i) {
        if (item[i] == '%') {
          value += char(std::stoi(item.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += item[i] == '+' ? ' ' : item[i];
        }
      }
      query[item.substr(0, equals)] = value;
      at = next;
    }
    return query;
  }

  Json Tail() { return { { "ver", mVersion }, { "now_ms", NowMs() } }; }

  static Json ToJson(const Name& aName, const Row& aRow)
  {
    return { { "table", aName.mTable },
             { "part", aName.mPart },
             { "key", aName.mKey },
             { "value", aRow.mValue },
             { "ver", aRow.mVer } };
  }

  static Name ToName(const Json& aRow)
  {
    return { aRow["table"], aRow.value("part", ""), aRow["key"] };
  }

  // One version for each call.
  void Set(const Name& aName, const std::string& aValue, bool aNext = true)
  {
    mVersion += aNext ? 1 : 0;
    mRows[aName] = { aValue, mVersion };
    mLog.push_back({ aName, { aValue, mVersion }, false });
    mChanged.notify_all();
  }
  void Drop(const Name& aName, bool aNext = true)
  {
    mVersion += aNext ? 1 : 0;
    mRows.erase(aName);
    mLog.push_back({ aName, { "", mVersion }, true });
    mChanged.notify_all();
  }

  Reply Transact(const std::string& aBody)
  {
    constexpr std::size_t kRowBytes = 65536;
    constexpr std::size_t kMaxEntries = 100;
    constexpr std::size_t kMaxBytes = 1024 * 1024;
    SleepMs(4);
    Json body = Json::parse(aBody, nullptr, false);
    if (body.is_discarded()) {
      return { 400, "{}" };
    }
    std::size_t entries = body["expected_revision"].size() +
                          body["set_keys"].size() + body["remove"].size();
    bool tooLarge = entries > kMaxEntries || aBody.size() > kMaxBytes;
    for (const Json& row : body["set_keys"]) {
      std::size_t bytes = row["value"].get_ref<const std::string&>().size();
      tooLarge = tooLarge || bytes / 4 * 3 > kRowBytes + 2;
      std::string table = row["table"];
      if (table == "op" || table == "servers") {
        return { 403, "{}" };
      }
    }
    std::lock_guard lock(mMutex);
    if (tooLarge) {
      ++mTooLarge;
      return { 400, "{}" };
    }
    bool holds = true;
    Json current = Json::array();
    for (const Json& row : body["expected_revision"]) {
      Name name = ToName(row);
      auto it = mRows.find(name);
      std::uint64_t ver = it == mRows.end() ? 0 : it->second.mVer;
      holds = holds && ver == row["ver"].get<std::uint64_t>();
      if (it != mRows.end()) {
        current.push_back(ToJson(name, it->second));
      }
    }
    Json reply = Tail();
    if (!holds) {
      reply["rows"] = current;
      return { 412, reply.dump() };
    }
    ++mVersion;
    for (const Json& row : body["set_keys"]) {
      Set(ToName(row), row["value"], false);
    }
    for (const Json& row : body["remove"]) {
      Drop(ToName(row), false);
    }
    return { 200, Tail().dump() };
  }

  Reply Get(std::map<std::string, std::string>& aQuery)
  {
    SleepMs(4);
    std::lock_guard lock(mMutex);
    std::size_t limit =
      aQuery.contains("limit") ? std::stoul(aQuery["limit"]) : 500;
    limit = std::min<std::size_t>(limit, 500);
    Json rows = Json::array();
    bool truncated = false;
    std::size_t bytes = 0;
    auto it =
      mRows.lower_bound({ aQuery["table"], aQuery["part"], aQuery["from"] });
    for (; it != mRows.end() && it->first.mTable == aQuery["table"] &&
           it->first.mPart == aQuery["part"];
         ++it) {
      if (aQuery.contains("to") && it->first.mKey >= aQuery["to"]) {
        break;
      }
      bytes += it->second.mValue.size() + 100;
      if (rows.size() >= limit || (bytes > 1024 * 1024 && !rows.empty())) {
        truncated = true;
        break;
      }
      rows.push_back(ToJson(it->first, it->second));
    }
    Json reply = Tail();
    reply["rows"] = std::move(rows);
    reply["truncated"] = truncated;
    return { 200, reply.dump() };
  }

  Reply Feed(std::map<std::string, std::string>& aQuery)
  {
    std::uint64_t after = std::stoull(aQuery["after"]);
    std::int64_t wait = std::stoll(aQuery["wait_ms"]);
    std::string table = aQuery["table"];
    SleepMs(4);
    std::unique_lock lock(mMutex);
    Json rows = Json::array();
    auto collect = [&] {
      auto it = std::partition_point(
        mLog.begin(), mLog.end(), [&](const Change& aChange) {
          return aChange.mRow.mVer <= after;
        });
      for (; it != mLog.end(); ++it) {
        if (it->mName.mTable == table) {
          Json row = ToJson(it->mName, it->mRow);
          if (it->mRemoved) {
            row.erase("value");
            row["removed"] = true;
          }
          rows.push_back(std::move(row));
        }
      }
      after = mVersion;
      return !rows.empty();
    };
    mChanged.wait_for(lock, std::chrono::milliseconds(wait), collect);
    Json reply = Tail();
    reply["rows"] = std::move(rows);
    return { 200, reply.dump() };
  }

  struct Change
  {
    Name mName;
    Row mRow;
    bool mRemoved;
  };

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<Name, Row> mRows;
  std::vector<Change> mLog;
  std::uint64_t mVersion = 100;
  std::size_t mTooLarge = 0;
};

struct WorkerProcess
{
  std::string mMachine, mPool, mRack, mZone, mId;
  pid_t mProcess = 0;
  int mLives = 0;
  Address mListen;
  /// Down, moving or in maintenance; up if empty.
  std::string mState;
};

struct NodeProcess
{
  std::string mName, mZone, mIp, mSettings;
  pid_t mProcess = 0;
  Address mFront;
};

class Fleet
{
public:
  Fleet(const std::string& aRecordFile, const std::string& aBuild)
    : mRecord(aRecordFile)
    , mBuild(aBuild)
  {
    char name[] = "/tmp/buckthornshunt-review-XXXXXX";
    mFolder = mkdtemp(name);
    int seed = int(getpid());
    mNet = "127." + std::to_string(64 + seed % 64) + "." +
           std::to_string(seed / 64 % 250) + ".";
    mPlatform = { mNet + "1", FreePort(mNet + "1") };
    mMachineService = { mNet + "1", 0 };
    Serve(mPlatform,
          [this](const Message& aRequest) { return Platform(aRequest); });
    mMachineService.mPort = FreePort(mNet + "1");
    Serve(mMachineService,
          [this](const Message& aRequest) { return MachineCall(aRequest); });
  }

  void Shutdown()
  {
    mEnding = true;
    for (NodeProcess& node : mNodes) {
      End(node.mProcess);
    }
    std::lock_guard lock(mMutex);
    for (WorkerProcess& worker : mWorkers) {
      End(worker.mProcess);
    }
    std::filesystem::remove_all(mFolder);
  }

  Record& GetRecord() { return mRecord; }
  Store& GetStore() { return mStore; }
  /// Starts the advice service, which answers "good" for the executors that
  /// the function names. To be called before executors and nodes are added.
  void AddAdvice(std::function<bool(const std::string&)> aGood)
  {
    mGood = std::move(aGood);
    mAdvice = true;
    mAdviceService = { mNet + "1", FreePort(mNet + "1") };
    Serve(mAdviceService,
          [this](const Message& aRequest) { return Advise(aRequest); });
  }

  /// Moves of machines are answered with 409 "busy" unless this is set.
  void AllowMoves() { mMovesAllowed = true; }

  void SetConfig(const Json& aConfig)
  {
    mStore.Put("op", "config", aConfig.dump());
    mRecord.Add(
      { { "what", "manifest acknowledged" }, { "manifest", aConfig } });
  }

  void AddWorkers(const std::string& aPool, int aCount)
  {
    static const char* zones[] = { "tallinn-a", "tallinn-b", "rakvere" };
    std::lock_guard lock(mMutex);
    for (int i = 0; i < aCount; ++i) {
      WorkerProcess worker;
      int n = int(mWorkers.size());
      worker.mMachine = "m-" + std::to_string(100 + n);
      worker.mPool = aPool;
      worker.mZone = zones[n % 3];
      worker.mRack = "r" + std::to_string(n % 3) + "-" + std::to_string(n / 12);
      std::string ip = mNet + std::to_string(20 + n);
      worker.mListen = { ip, FreePort(ip) };
      StartLife(worker, false);
      mWorkers.push_back(worker);
    }
  }

  /// Adds machines of a spare pool, which are off.
  void AddSpare(const std::string& aPool, int aCount)
  {
    std::lock_guard lock(mMutex);
    for (int i = 0; i < aCount; ++i) {
      WorkerProcess worker;
      int n = int(mWorkers.size());
      worker.mMachine = "m-" + std::to_string(100 + n);
      worker.mPool = aPool;
      worker.mZone = "rakvere";
      worker.mRack = "r2-" + std::to_string(n / 12);
      std::string ip = mNet + std::to_string(20 + n);
      worker.mListen = { ip, FreePort(ip) };
      mWorkers.push_back(worker);
    }
  }

  void AddNodes(int aCount)
  {
    static const char* zones[] = { "tallinn-a", "tallinn-b", "rakvere" };
    for (int i = 0; i < aCount; ++i) {
      NodeProcess node;
      node.mName =
        "front-" + std::string(zones[i % 3]) + "-" + std::to_string(1 + i / 3);
      node.mZone = zones[i % 3];
      node.mIp = mNet + std::to_string(2 + i);
      node.mFront = { node.mIp, FreePort(node.mIp) };
      std::set<int> used{ node.mFront.mPort };
      auto port = [&] {
        int p;
        do {
          p = FreePort(node.mIp);
        } while (!used.insert(p).second);
        return node.mIp + ":" + std::to_string(p);
      };
      // As deploy/settings.json.tmpl renders it.
      Json settings = { { "node", node.mName },
                        { "data_centre", node.mZone },
                        { "callers", node.mFront.Text() },
                        { "peers", port() },
                        { "platform", mPlatform.Text() },
                        { "log",
                          { { "format", "text" }, { "level", "info" } } },
                        { "workload",
                          { { "ready", port() },
                            { "metrics", port() },
                            { "machines", mMachineService.Text() },
                            { "grace_s", 6 },
                            { "status_kept_s", 120 },
                            { "longest_run_lease_ms", 10000 },
                            { "duty_lease_ms", 3000 },
                            { "processor_share", 0.25 },
                            { "processor_speed", 1 },
                            { "link_mbps", 1000.0 } } } };
      if (mAdvice) {
        settings["workload"]["advice"] = mAdviceService.Text();
      }
      node.mSettings = mFolder + "/" + node.mName + ".json";
      std::ofstream(node.mSettings) << settings.dump(2);
      StartNode(node);
      mNodes.push_back(node);
    }
  }

  std::size_t NodeCount() const { return mNodes.size(); }

  void KillNode(std::size_t aNode)
  {
    mRecord.Add(
      { { "what", "SIGKILL of a node" }, { "node", mNodes[aNode].mName } });
    End(mNodes[aNode].mProcess);
  }
  void StartNodeAgain(std::size_t aNode)
  {
    mRecord.Add(
      { { "what", "node started" }, { "node", mNodes[aNode].mName } });
    StartNode(mNodes[aNode]);
  }

  /// Calls a node as a client does; the record holds call and answer.
  Reply Client(std::size_t aNode,
               const std::string& aMethod,
               const std::string& aHost,
               const std::string& aPath,
               const Json& aBody = nullptr,
               bool aQuiet = false)
  {
    std::string body = aBody.is_null() ? "" : aBody.dump();
    std::int64_t sent = NowMs();
    Reply reply = Call(mNodes[aNode].mFront, aMethod, aPath, aHost, body, 3000);
    if (!aQuiet) {
      Json entry = { { "what", "call" },       { "node", mNodes[aNode].mName },
                     { "method", aMethod },    { "path", aPath },
                     { "sent", sent },         { "status", reply.mStatus },
                     { "answer", reply.mBody } };
      entry["took_ms"] = NowMs() - sent;
      entry.erase("sent");
      if (!body.empty()) {
        entry["body"] = aBody;
      }
      mRecord.Add(entry);
    }
    return reply;
  }

  /// Waits until every node answers the count of the queue with 200.
  bool WaitReady(const std::string& aHost, const std::string& aPrefix)
  {
    std::int64_t end = NowMs() + 25000;
    std::size_t ready = 0;
    while (ready < mNodes.size() && NowMs() < end) {
      ready = 0;
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        ready += Client(i, "GET", aHost, aPrefix, nullptr, true).mStatus == 200
                   ? 1
                   : 0;
      }
      SleepMs(200);
    }
    return ready == mNodes.size();
  }

  /// Kills the executor with this id; false if there is none.
  bool CrashWorker(const std::string& aId)
  {
    std::lock_guard lock(mMutex);
    for (WorkerProcess& worker : mWorkers) {
      if (worker.mId == aId && worker.mProcess != 0) {
        End(worker.mProcess);
        LeaveGangs(aId);
        worker.mState = "down";
        mRecord.Add(
          { { "what", "SIGKILL of an executor" }, { "worker", aId } });
        return true;
      }
    }
    return false;
  }

  /// Starts the machine's next executor, with the id it had or a new one.
  void RestartWorker(const std::string& aId, bool aSameId)
  {
    std::lock_guard lock(mMutex);
    for (WorkerProcess& worker : mWorkers) {
      if (worker.mId == aId && worker.mProcess == 0) {
        StartLife(worker, aSameId);
      }
    }
  }

  /// Starts the next executor of a machine that was moved or maintained.
  void RestartMachine(const std::string& aMachine)
  {
    std::lock_guard lock(mMutex);
    for (WorkerProcess& worker : mWorkers) {
      if (worker.mMachine == aMachine && worker.mProcess == 0) {
        StartLife(worker, false);
      }
    }
  }

  std::vector<std::string> WorkerIds(const std::string& aPool)
  {
    std::lock_guard lock(mMutex);
    std::vector<std::string> ids;
    for (const WorkerProcess& worker : mWorkers) {
      if (worker.mPool == aPool) {
        ids.push_back(worker.mId);
      }
    }
    return ids;
  }

  /// Work of a gang in ms.
  static void SetGangWork(std::int64_t aMs) { mGangWorkMs = aMs; }

  /// The executor that runs the task, by its own notes; empty if none does.
  std::string RunsOn(const std::string& aTask)
  {
    std::string on;
    for (const Json& entry : mRecord.Entries()) {
      std::string what = entry["what"];
      if (entry.value("task", "") == aTask) {
        on = what == "start" ? entry["worker"].get<std::string>() : "";
      }
      if (what == "SIGKILL of an executor" &&
          entry["worker"].get<std::string>() == on) {
        on.clear();
      }
    }
    return on;
  }

private:
  static void End(pid_t& aProcess)
  {
    if (aProcess != 0) {
      ::kill(aProcess, SIGKILL);
      ::waitpid(aProcess, nullptr, 0);
      aProcess = 0;
    }
  }

  // All processes are started by one thread that lives as long as this process:
  // a child gets its SIGKILL when the thread that started it ends.
  pid_t Spawn(const std::vector<std::string>& aWords,
              const std::string& aLog,
              const std::string& aVariable = "")
  {
    std::promise<pid_t> started;
    std::unique_lock lock(mSpawnMutex);
    if (!mSpawning) {
      mSpawning = true;
      std::thread([this] { SpawnLoop(); }).detach();
    }
    mSpawns.push_back(
      [&] { started.set_value(Fork(aWords, aLog, aVariable)); });
    mSpawnDue.notify_all();
    lock.unlock();
    return started.get_future().get();
  }

  void SpawnLoop()
  {
    while (true) {
      std::unique_lock lock(mSpawnMutex);
      mSpawnDue.wait(lock, [this] { return !mSpawns.empty(); });
      auto spawn = std::move(mSpawns.front());
      mSpawns.pop_front();
      lock.unlock();
      spawn();
    }
  }

  static pid_t Fork(const std::vector<std::string>& aWords,
                    const std::string& aLog,
                    const std::string& aVariable)
  {
    std::vector<char*> words;
    for (const std::string& word : aWords) {
      words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    pid_t parent = getpid();
    pid_t child = ::fork();
    if (child == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(2);
      }
      int log = ::open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      if (!aVariable.empty()) {
        ::setenv("BUCKTHORNSHUNT_BOOT", aVariable.c_str(), 1);
      }
      ::execv(words[0], words.data());
      _exit(127);
    }
    return child;
  }

  void StartNode(NodeProcess& aNode)
  {
    const char* keep = std::getenv("REVIEW_LOGS");
    std::string folder = keep != nullptr ? keep : mFolder;
    aNode.mProcess = Spawn(
      { "target/buckthornshuntd", "--settings-from", "BUCKTHORNSHUNT_BOOT" },
      folder + "/" + aNode.mName + ".log",
      aNode.mSettings);
  }

  // With mMutex held or before any thread knows the worker.
  void StartLife(WorkerProcess& aWorker, bool aSameId)
  {
    if (!aSameId) {
      ++aWorker.mLives;
      aWorker.mId = "i-" + aWorker.mMachine.substr(2) + "-" +
                    std::to_string(aWorker.mLives);
    }
    aWorker.mState.clear();
    mRecord.Add({ { "what", "executor started" },
                  { "worker", aWorker.mId },
                  { "pool", aWorker.mPool },
                  { "machine", aWorker.mMachine } });
    aWorker.mProcess = Spawn({ mBuild + "/worker",
                               "--platform",
                               mPlatform.Text(),
                               "--id",
                               aWorker.mId,
                               "--pool",
                               aWorker.mPool,
                               "--machine",
                               aWorker.mMachine,
                               "--rack",
                               aWorker.mRack,
                               "--zone",
                               aWorker.mZone,
                               "--tickets",
                               mAdvice ? "yes" : "no",
                               "--listen",
                               aWorker.mListen.Text() },
                             mFolder + "/workers.log");
  }

  Reply Platform(const Message& aRequest)
  {
    if (aRequest.mSecond == "/standin/note") {
      mRecord.Add(Json::parse(aRequest.mBody));
      return {};
    }
    if (aRequest.mSecond == "/standin/gang") {
      return GangCall(Json::parse(aRequest.mBody));
    }
    if (aRequest.mSecond == "/standin/entry") {
      Json call = Json::parse(aRequest.mBody);
      std::string id = call["id"];
      mStore.Put("servers", id, call["entry"].dump());
      std::lock_guard lock(mMutex);
      mSeen[id] = NowMs();
      if (!mExpiring) {
        mExpiring = true;
        std::thread([this] { ExpireEntries(); }).detach();
      }
      return {};
    }
    return mStore.Handle(aRequest);
  }

  /// One run of a gang. Its members work together once all are there with the
  /// same checkpoint, which names the work done in ms.
  struct Gang
  {
    std::map<std::string, std::pair<std::string, std::string>> mMembers;
    std::size_t mSize = 0;
    std::int64_t mSince = -1;
    std::int64_t mBase = 0;
    std::int64_t mWorkedMs = 0;
    bool mBroken = false;
  };

  static constexpr std::int64_t kSaveMs = 2000;

  Reply GangCall(const Json& aCall)
  {
    std::lock_guard lock(mGangMutex);
    std::string task = aCall["task"];
    std::string key = task.substr(0, task.rfind('.')) + "/" +
                      std::to_string(aCall["run"].get<int>());
    Gang& gang = mGangs[key];
    std::string op = aCall["op"];
    if (op == "join") {
      gang.mSize = aCall["size"];
      gang.mMembers[task] = { aCall["worker"], aCall["checkpoint"] };
      std::set<std::string> values;
      for (const auto& [member, at] : gang.mMembers) {
        values.insert(at.second);
      }
      if (gang.mMembers.size() == gang.mSize && values.size() == 1) {
        gang.mSince = NowMs();
        gang.mBase = values.begin()->empty()
                       ? 0
                       : std::stoll(*values.begin(), nullptr, 16);
        mRecord.Add({ { "what", "gang together" }, { "gang", key } });
      }
      return {};
    }
    if (op == "leave") {
      gang.mMembers.erase(task);
      Break(gang);
      return {};
    }
    bool together = gang.mSince >= 0 && !gang.mBroken;
    std::int64_t progress = together ? gang.mBase + NowMs() - gang.mSince : 0;
    std::int64_t saved = progress / kSaveMs * kSaveMs;
    char text[20] = "";
    if (saved > 0) {
      std::snprintf(
        text, sizeof text, "%016llx", static_cast<long long>(saved));
    }
    return { 200,
             Json{ { "together", together },
                   { "progress", progress },
                   { "saved", text },
                   { "broken", gang.mBroken } }
               .dump() };
  }

  static void Break(Gang& aGang)
  {
    // The end of a gang that has done its work breaks nothing: its members end
    // as they look.
    if (aGang.mSince >= 0 && !aGang.mBroken && !aGang.mMembers.empty()) {
      aGang.mBroken =
        aGang.mBroken || NowMs() - aGang.mSince + aGang.mBase < mGangWorkMs;
    }
  }

  // The members on an executor that has crashed.
  void LeaveGangs(const std::string& aWorker)
  {
    std::lock_guard lock(mGangMutex);
    for (auto& [key, gang] : mGangs) {
      std::size_t n = std::erase_if(gang.mMembers, [&](const auto& aMember) {
        return aMember.second.first == aWorker;
      });
      if (n > 0) {
        Break(gang);
      }
    }
  }

  // An entry is removed after three check-in intervals of silence.
  void ExpireEntries()
  {
    while (!mEnding) {
      SleepMs(100);
      std::vector<std::string> gone;
      {
        std::lock_guard lock(mMutex);
        for (const auto& [id, seen] : mSeen) {
          if (NowMs() - seen > 3 * 1500) {
            gone.push_back(id);
          }
        }
        for (const std::string& id : gone) {
          mSeen.erase(id);
        }
      }
      for (const std::string& id : gone) {
        mStore.Remove("servers", id);
      }
    }
  }

  // Answers one call after the other, after 5 ms and 1 ms for each executor.
  Reply Advise(const Message& aRequest)
  {
    std::lock_guard lock(mAdviceMutex);
    Json body = Json::parse(aRequest.mBody);
    Json good = Json::array();
    for (const Json& id : body["workers"]) {
      if (mGood(id)) {
        std::string ticket =
          id.get<std::string>() + "/" + body["step"].get<std::string>();
        good.push_back(Json::array({ id, ticket }));
      }
    }
    SleepMs(5 + std::int64_t(body["workers"].size()));
    if (mAdviceCalls++ < 20) {
      mRecord.Add({ { "what", "advice" },
                    { "step", body["step"] },
                    { "workers", body["workers"].size() },
                    { "good", good.size() } });
    }
    return { 200, Json{ { "good", good }, { "valid_ms", 3000 } }.dump() };
  }

  Reply MachineCall(const Message& aRequest)
  {
    std::unique_lock lock(mMutex);
    if (aRequest.mFirst == "GET") {
      Json list = Json::array();
      for (const WorkerProcess& worker : mWorkers) {
        list.push_back(
          { { "machine", worker.mMachine },
            { "pool", worker.mPool },
            { "state", worker.mState.empty() ? "up" : worker.mState },
            { "zone", worker.mZone },
            { "labels", { "a", worker.mRack } },
            { "capacity",
              { { "cpu", 32000 }, { "mem_mb", 131072 }, { "gpu", 0 } } },
            { "id",
              worker.mState.empty() && worker.mProcess != 0
                ? Json(worker.mId)
                : Json(nullptr) } });
      }
      return { 200,
               Json{ { "machines", list }, { "next_token", nullptr } }.dump() };
    }
    Json body = Json::parse(aRequest.mBody);
    Json entry = { { "what", aRequest.mSecond }, { "order", body } };
    Reply reply{ 409, R"({"reason":"busy"})" };
    for (WorkerProcess& worker : mWorkers) {
      if (worker.mMachine != body["machine"].get<std::string>() ||
          !mMovesAllowed || !worker.mState.empty()) {
        continue;
      }
      bool move = aRequest.mSecond == "/machine-move";
      if (move) {
        worker.mPool = body["pool"];
      }
      std::string id = worker.mId;
      std::string machine = worker.mMachine;
      if (worker.mProcess != 0) {
        End(worker.mProcess);
        mStore.Remove("servers", id);
        mSeen.erase(id);
      }
      worker.mState = move ? "moving" : "upkeep";
      std::thread([this, machine, move] {
        SleepMs(move ? 1500 : 2000);
        if (!mEnding) {
          RestartMachine(machine);
        }
      }).detach();
      entry["ends"] = id;
      reply = { 200, "{}" };
    }
    entry["status"] = reply.mStatus;
    lock.unlock();
    mRecord.Add(entry);
    return reply;
  }

  std::mutex mSpawnMutex;
  std::condition_variable mSpawnDue;
  std::deque<std::function<void()>> mSpawns;
  bool mSpawning = false;
  Record mRecord;
  Store mStore;
  std::string mBuild, mFolder, mNet;
  Address mPlatform, mMachineService, mAdviceService;
  std::function<bool(const std::string&)> mGood;
  bool mAdvice = false;
  std::mutex mGangMutex;
  std::map<std::string, Gang> mGangs;
  static inline std::int64_t mGangWorkMs = 0;
  std::mutex mAdviceMutex;
  int mAdviceCalls = 0;
  std::mutex mMutex;
  std::vector<WorkerProcess> mWorkers;
  std::map<std::string, std::int64_t> mSeen;
  bool mExpiring = false;
  bool mMovesAllowed = false;
  std::atomic<bool> mEnding{ false };
  std::vector<NodeProcess> mNodes;
};

inline Json
Route(const std::string& aName,
      const std::string& aService,
      int aAttempts,
      int aAimMs = 600)
{
  return { { "name", "r-" + aName },
           { "host", aName + ".example" },
           { "path_prefix", "/" + aName + "/" },
           { "kind", "unsafe" },
           { "timeout_ms", 3000 },
           { "target_latency_ms", aAimMs },
           { "priority", 0 },
           { "service", aService },
           { "max_attempts", aAttempts },
           { "stretch", 1.6 } };
}

inline Json
Service(const std::string& aName, bool aSpare = false)
{
  return { { "name", aName },   { "health_path", "/health" },
           { "max_conns", 64 }, { "protocol", "h1" },
           { "tls", false },    { "enforces_capacity", true },
           { "spare", aSpare } };
}

inline Json
Manifest(int aVersion, const Json& aRoutes, const Json& aServices)
{
  return { { "version", aVersion },
           { "routes", aRoutes },
           { "services", aServices },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 262144 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } } };
}

inline std::string
JobId(int aNumber)
{
  char text[20];
  std::snprintf(text, sizeof text, "5c0e7a21%08x", unsigned(aNumber));
  return text;
}

#endif
