#ifndef BUCKTHORNSHUNT_WIRE_WS_CODEC_H
#define BUCKTHORNSHUNT_WIRE_WS_CODEC_H

// This header is read by a C++17 source too, so it keeps to that standard.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Which side of the opening handshake an end takes.
enum class WsRole : std::uint8_t
{
  Client,
  Server
};

/// One end of a WebSocket connection, without any input or output: the caller
/// carries the bytes between it and a socket.
class WsCodec
{
public:
  /// aUri is only used by a client.
  WsCodec(WsRole aRole, std::string_view aUri, std::size_t aMaxMessageBytes);
  ~WsCodec();
  WsCodec(WsCodec&&) noexcept;
  WsCodec& operator=(WsCodec&&) noexcept;

  /// Takes bytes that arrived; false if the connection has failed or closed.
  bool Feed(std::string_view aBytes);

  /// Queues a binary message; false before the handshake ended.
  bool Send(std::string_view aMessage);

  /// Starts the closing handshake.
  void Close();

  bool IsOpen() const;

  /// Bytes to be sent since the last call.
  std::string TakeOutput();

  /// Messages that arrived since the last call.
  std::vector<std::string> TakeMessages();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace buckthornshunt

#endif
