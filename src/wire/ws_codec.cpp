#include "wire/ws_codec.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <system_error>
#include <utility>
#include <variant>

namespace buckthornshunt {

namespace {

using Client = websocketpp::client<websocketpp::config::core_client>;
using Server = websocketpp::server<websocketpp::config::core>;

/// A websocketpp endpoint and its only connection.
template<class EndpointType>
struct WsEndpoint
{
  EndpointType mEndpoint;
  typename EndpointType::connection_ptr mConnection;
};

} // namespace

struct WsCodec::Impl
{
  std::variant<WsEndpoint<Client>, WsEndpoint<Server>> mWsEndpoint;
  std::string mOutput;
  std::vector<std::string> mMessages;
  bool mOpen = false;
  bool mFailed = false;

  template<class EndpointType>
  void Configure(WsEndpoint<EndpointType>& aWsEndpoint,
                 std::size_t aMaxMessageBytes)
  {
    EndpointType& endpoint = aWsEndpoint.mEndpoint;
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.set_max_message_size(aMaxMessageBytes);
    endpoint.set_write_handler(
      [this](auto, const char* aBytes, std::size_t aSize) {
        mOutput.append(aBytes, aSize);
        return std::error_code();
      });
    endpoint.set_message_handler(
      [this](auto, typename EndpointType::message_ptr aMessage) {
        mMessages.push_back(std::move(aMessage->get_raw_payload()));
      });
    endpoint.set_open_handler([this](auto) { mOpen = true; });
    endpoint.set_close_handler([this](auto) { mFailed = true; });
    endpoint.set_fail_handler([this](auto) { mFailed = true; });
  }
};

WsCodec::WsCodec(WsRole aRole,
                 std::string_view aUri,
                 std::size_t aMaxMessageBytes)
  : mImpl(std::make_unique<Impl>())
{
  std::error_code ec;
  if (aRole == WsRole::Client) {
    auto& wsEndpoint = mImpl->mWsEndpoint.emplace<WsEndpoint<Client>>();
    mImpl->Configure(wsEndpoint, aMaxMessageBytes);
    wsEndpoint.mConnection =
      wsEndpoint.mEndpoint.get_connection(std::string(aUri), ec);
    if (ec) {
      mImpl->mFailed = true;
      return;
    }
    wsEndpoint.mEndpoint.connect(wsEndpoint.mConnection);
    return;
  }
  auto& wsEndpoint = mImpl->mWsEndpoint.emplace<WsEndpoint<Server>>();
  mImpl->Configure(wsEndpoint, aMaxMessageBytes);
  wsEndpoint.mConnection = wsEndpoint.mEndpoint.get_connection();
  wsEndpoint.mConnection->start();
}

WsCodec::~WsCodec() = default;
WsCodec::WsCodec(WsCodec&&) noexcept = default;
WsCodec&
WsCodec::operator=(WsCodec&&) noexcept = default;

bool
WsCodec::ProcessInput(std::string_view aBytes)
{
  if (!mImpl->mFailed) {
    std::visit(
      [&](auto& aWsEndpoint) {
        aWsEndpoint.mConnection->read_all(aBytes.data(), aBytes.size());
      },
      mImpl->mWsEndpoint);
  }
  return !mImpl->mFailed;
}

bool
WsCodec::Send(std::string_view aMessage)
{
  if (!IsOpen()) {
    return false;
  }
  std::error_code ec = std::visit(
    [&](auto& aWsEndpoint) {
      return aWsEndpoint.mConnection->send(
        aMessage.data(), aMessage.size(), websocketpp::frame::opcode::binary);
    },
    mImpl->mWsEndpoint);
  return !ec;
}

void
WsCodec::Close()
{
  std::error_code ec;
  std::visit(
    [&](auto& aWsEndpoint) {
      if (aWsEndpoint.mConnection) {
        aWsEndpoint.mConnection->close(
          websocketpp::close::status::going_away, "", ec);
      }
    },
    mImpl->mWsEndpoint);
}

bool
WsCodec::IsOpen() const
{
  return mImpl->mOpen && !mImpl->mFailed;
}

std::size_t
WsCodec::OutputBytes() const
{
  return mImpl->mOutput.size();
}

std::string
WsCodec::TakeOutput()
{
  return std::exchange(mImpl->mOutput, {});
}

std::vector<std::string>
WsCodec::TakeMessages()
{
  return std::exchange(mImpl->mMessages, {});
}

} // namespace buckthornshunt
