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

/// An endpoint of the library and its single connection.
template<class EndpointType>
struct Side
{
  EndpointType mEndpoint;
  typename EndpointType::connection_ptr mConnection;
};

} // namespace

struct WsCodec::Impl
{
  std::variant<Side<Client>, Side<Server>> mSide;
  std::string mOutput;
  std::vector<std::string> mMessages;
  bool mOpen = false;
  bool mFailed = false;

  template<class EndpointType>
  void Prepare(Side<EndpointType>& aSide, std::size_t aMostMessageBytes)
  {
    EndpointType& endpoint = aSide.mEndpoint;
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.set_max_message_size(aMostMessageBytes);
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
                 std::size_t aMostMessageBytes)
  : mImpl(std::make_unique<Impl>())
{
  std::error_code ec;
  if (aRole == WsRole::Client) {
    auto& side = mImpl->mSide.emplace<Side<Client>>();
    mImpl->Prepare(side, aMostMessageBytes);
    side.mConnection = side.mEndpoint.get_connection(std::string(aUri), ec);
    if (ec) {
      mImpl->mFailed = true;
      return;
    }
    side.mEndpoint.connect(side.mConnection);
    return;
  }
  auto& side = mImpl->mSide.emplace<Side<Server>>();
  mImpl->Prepare(side, aMostMessageBytes);
  side.mConnection = side.mEndpoint.get_connection();
  side.mConnection->start();
}

WsCodec::~WsCodec() = default;
WsCodec::WsCodec(WsCodec&&) noexcept = default;
WsCodec&
WsCodec::operator=(WsCodec&&) noexcept = default;

bool
WsCodec::Feed(std::string_view aBytes)
{
  if (!mImpl->mFailed) {
    std::visit(
      [&](auto& aSide) {
        aSide.mConnection->read_all(aBytes.data(), aBytes.size());
      },
      mImpl->mSide);
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
    [&](auto& aSide) {
      return aSide.mConnection->send(
        aMessage.data(), aMessage.size(), websocketpp::frame::opcode::binary);
    },
    mImpl->mSide);
  return !ec;
}

void
WsCodec::Close()
{
  std::error_code ec;
  std::visit(
    [&](auto& aSide) {
      if (aSide.mConnection) {
        aSide.mConnection->close(
          websocketpp::close::status::going_away, "", ec);
      }
    },
    mImpl->mSide);
}

bool
WsCodec::IsOpen() const
{
  return mImpl->mOpen && !mImpl->mFailed;
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
