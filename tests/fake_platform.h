#ifndef BUCKTHORNSHUNT_TESTS_FAKE_PLATFORM_H
#define BUCKTHORNSHUNT_TESTS_FAKE_PLATFORM_H

#include "net/http_server.h"
#include "wire/json_fields.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace buckthornshunt::tests {

/// The platform's store and machine service and the workers, behind one HTTP
/// server on loopback. Workers run nothing.
class FakePlatform
{
public:
  FakePlatform(asio::io_context& aContext, Clock& aClock);

  Endpoint ServerEndpoint() const { return { "127.0.0.1", mServer.Port() }; }

  /// Writes a row as the operator or a worker does.
  void Put(std::string_view aTable,
           std::string_view aKey,
           std::string_view aValue);

  /// Rewrites the entries of the workers in turn, until cancelled.
  Task<void> ReportWorkers(int aWorkers);

  Task<void> Stop();

private:
  /// Table, partition and key.
  using RowKey = std::tuple<std::string, std::string, std::string>;

  struct Row
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
  };

  Task<HttpReply> Serve(const HttpRequest& aRequest);
  Task<HttpReply> FollowRows(std::string aTarget);
  Task<HttpReply> RenewLease(Json aBody);
  HttpReply Commit(const Json& aBody);
  HttpReply ScanRows(std::string_view aTarget) const;
  HttpReply ListVms() const;
  static Json RowToJson(const RowKey& aKey, const Row& aRow);

  Clock& mClock;
  HttpServer mServer;
  Event mChanged;
  std::uint64_t mRevision = 0;
  std::map<RowKey, Row> mRows;
  int mWorkers = 0;
};

} // namespace buckthornshunt::tests

#endif
