#ifndef BUCKTHORNSHUNT_WIRE_WS_CODEC_H
#define BUCKTHORNSHUNT_WIRE_WS_CODEC_H

// Must compile as C++17, since a C++17 source includes this header.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Role in the opening handshake.
enum class WsRole : std::uint8_t
{
  Client,
  Server
};

/// WebSocket protocol state of one end of a connection, without I/O: the caller
/// transfers the bytes between it and a socket.
class WsCodec
{
public:
  /// aUri is used only in the client role.
  WsCodec(WsRole aRole, std::string_view aUri, std::size_t aMaxMessageBytes);
  ~WsCodec();
  WsCodec(WsCodec&&) noexcept;
  WsCodec& operator=(WsCodec&&) noexcept;

  /// Processes received bytes; returns false if the connection failed or
  /// closed.
  bool ProcessInput(std::string_view aBytes);

  /// Queues a binary message; returns false if the connection isn't open.
  bool Send(std::string_view aMessage);

  /// Starts the closing handshake.
  void Close();

  bool IsOpen() const;

  /// Number of bytes to be sent.
  std::size_t OutputBytes() const;

  /// Returns and clears the bytes to be sent.
  std::string TakeOutput();

  /// Returns and clears the received messages.
  std::vector<std::string> TakeMessages();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace buckthornshunt

#endif
