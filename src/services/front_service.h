#ifndef BUCKTHORNSHUNT_SERVICES_FRONT_SERVICE_H
#define BUCKTHORNSHUNT_SERVICES_FRONT_SERVICE_H

#include "buckthornshunt/outcome.h"
#include "kernel/kernel.h"
#include "net/http_server.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace buckthornshunt {

class ConfigService;
class ControlService;
class DispatchService;
class JobService;
class MemberService;
class PeerService;
class TableService;
class WaveService;

/// HTTP interface for callers and operators.
class FrontService
{
public:
  static constexpr std::string_view kName = "front";

  FrontService(Kernel& aKernel, Endpoint aListen);
  ~FrontService();

  leaf::result<void> Start();

  /// Reports itself unhealthy to the load balancer, then stops accepting
  /// connections, then waits for the requests in progress.
  Task<void> Stop();

  std::uint16_t Port() const;

private:
  struct Route;

  static std::span<const Route> Routes();

  Task<HttpReply> HandleRequest(const HttpRequest& aRequest,
                                CallerState& aCaller);
  Task<HttpReply> ServeRequest(const HttpRequest& aRequest,
                               CallerState& aCaller);
  Task<HttpReply> SubmitJob(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> ShowJob(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> CancelJob(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> IssueTicket(const HttpRequest& aRequest,
                              CallerState& aCaller);
  Task<HttpReply> ShowHealth(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> ShowMetrics(const HttpRequest& aRequest,
                              CallerState& aCaller);
  Task<HttpReply> ShowStatus(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> ShowTrace(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> ShowCost(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> ShowConfig(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> ApplyConfig(const HttpRequest& aRequest,
                              CallerState& aCaller);
  Task<HttpReply> ShowWave(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> StartWave(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> PauseWave(const HttpRequest& aRequest, CallerState& aCaller);
  Task<HttpReply> MoveVm(const HttpRequest& aRequest, CallerState& aCaller);

  TimePoint OperatorDeadline();
  Duration DefaultTimeout(const Request& aRequest) const;

  Kernel& mKernel;
  Endpoint mListen;
  DispatchService* mDispatch = nullptr;
  JobService* mJobs = nullptr;
  ConfigService* mConfig = nullptr;
  ControlService* mControl = nullptr;
  MemberService* mMembers = nullptr;
  PeerService* mPeers = nullptr;
  TableService* mTable = nullptr;
  WaveService* mWaves = nullptr;
  bool mStopping = false;
  std::unique_ptr<HttpServer> mServer;
};

} // namespace buckthornshunt

#endif
