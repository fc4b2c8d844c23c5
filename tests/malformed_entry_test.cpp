// Services follow the rest of a list that holds a malformed entry.

#include "fake_store.h"
#include "kernel/entry_log.h"
#include "kernel/kernel.h"
#include "platform/directory_codec.h"
#include "platform/store_codec.h"
#include "services/cell_runtime.h"
#include "services/directory_service.h"
#include "services/owner_service.h"
#include "wire/cell_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>
#include <websocketpp/base64/base64.hpp>

#include <map>

using namespace buckthornshunt;
using namespace buckthornshunt::tests;
using namespace std::chrono_literals;

TEST_CASE("an entry rewritten each second floods the log")
{
  Metrics metrics;
  MalformedEntryLog log(metrics, "test");
  for (int i = 0; i < 100; ++i) {
    log.Record("servers", "m", "invalid port");
  }
  CHECK(log.Logged() == 1);
  log.Record("servers", "m", "no zone");
  CHECK(log.Logged() == 2);
  log.Record("servers", "n\r\nforged line", "no zone");
  CHECK(log.Logged() == 3);
  log.Clear("servers", "m");
  log.Record("servers", "m", "no zone");
  CHECK(log.Logged() == 4);
  for (int i = 0; i < 5000; ++i) {
    log.Record("servers", "k" + std::to_string(i), "no zone");
  }
  CHECK(log.Logged() < 1100);
  CHECK(
    metrics.Render().find("buckthornshunt_malformed_entries_total 5103\n") !=
    std::string::npos);
}
