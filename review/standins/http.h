// A small blocking HTTP/1.1 client and server for the stand-ins.
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

struct Address
{
  std::string mHost;
  int mPort = 0;
  std::string Text() const { return mHost + ":" + std::to_string(mPort); }
};

inline Address
ParseAddress(const std::string& aText)
{
  auto colon = aText.rfind(':');
  return { aText.substr(0, colon), std::stoi(aText.substr(colon + 1)) };
}

/// Milliseconds of the steady clock, the same in all processes of a machine.
inline std::int64_t
NowMs()
{
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return std::int64_t(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
}

inline std::int64_t
WallMs()
{
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return std::int64_t(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
}

inline void
SleepMs(std::int64_t aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  }
}

struct Message
{
  /// Request line or status line, split at blanks.
  std::string mFirst, mSecond;
  std::map<std::string, std::string> mFields;
  std::string mBody;
  std::string Field(const std::string& aName) const
  {
    auto it = mFields.find(aName);
    return it == mFields.end() ? "" : it->second;
  }
};

/// Reads messages from a socket, keeping what follows one for the next.
class Reader
{
public:
  explicit Reader(int aSocket)
    : mSocket(aSocket)
  {
  }
  std::optional<Message> Read(std::int64_t aDeadlineMs = -1)
  {
    std::size_t end;
    while ((end = mData.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aDeadlineMs)) {
        return {};
      }
    }
    Message message;
    std::string head = mData.substr(0, end + 2);
    std::size_t at = head.find("\r\n");
    std::string line = head.substr(0, at);
    auto blank = line.find(' ');
    auto blank2 = line.find(' ', blank + 1);
    message.mFirst = line.substr(0, blank);
    message.mSecond = line.substr(
      blank + 1,
      blank2 == std::string::npos ? std::string::npos : blank2 - blank - 1);
    at += 2;
    while (at < head.size()) {
      auto eol = head.find("\r\n", at);
      std::string field = head.substr(at, eol - at);
      at = eol + 2;
      auto colon = field.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = field.substr(0, colon);
      std::transform(name.begin(),
                     name.end(),
                     name.begin(),
                     [](unsigned char aChar) { return std::tolower(aChar); });
      auto value = field.find_first_not_of(' ', colon + 1);
      message.mFields[name] =
        value == std::string::npos ? "" : field.substr(value);
    }
    std::size_t length = 0;
    std::string text = message.Field("content-length");
    if (!text.empty()) {
      length = std::stoul(text);
    }
    while (mData.size() < end + 4 + length) {
      if (!Fill(aDeadlineMs)) {
        return {};
      }
    }
    message.mBody = mData.substr(end + 4, length);
    mData.erase(0, end + 4 + length);
    return message;
  }

private:
  bool Fill(std::int64_t aDeadlineMs)
  {
    if (aDeadlineMs >= 0) {
      pollfd p{ mSocket, POLLIN, 0 };
      std::int64_t left = aDeadlineMs - NowMs();
      if (left <= 0 || ::poll(&p, 1, int(left)) <= 0) {
        return false;
      }
    }
    char buf[16384];
    ssize_t n = ::recv(mSocket, buf, sizeof buf, 0);
    if (n <= 0) {
      return false;
    }
    mData.append(buf, std::size_t(n));
    return true;
  }
  int mSocket;
  std::string mData;
};

inline bool
SendAll(int aSocket, const std::string& aData)
{
  std::size_t at = 0;
  while (at < aData.size()) {
    ssize_t n =
      ::send(aSocket, aData.data() + at, aData.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    at += std::size_t(n);
  }
  return true;
}

struct Reply
{
  /// 0: no answer, the channel is reset.
  int mStatus = 200;
  std::string mBody = "{}";
};

using Handler = std::function<Reply(const Message&)>;

/// Serves until the process ends; one thread for each channel.
inline void
Serve(const Address& aAddress, const Handler& aHandler)
{
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(std::uint16_t(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mHost.c_str(), &sa.sin_addr);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&sa), sizeof sa) != 0 ||
      ::listen(listener, 512) != 0) {
    std::perror(("listen " + aAddress.Text()).c_str());
    _exit(2);
  }
  std::thread([listener, aHandler] {
    while (true) {
      int channel = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (channel < 0) {
        continue;
      }
      int one = 1;
      ::setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([channel, aHandler] {
        Reader reader(channel);
        while (auto request = reader.Read()) {
          Reply reply = aHandler(*request);
          if (reply.mStatus == 0) {
            linger l{ 1, 0 };
            ::setsockopt(channel, SOL_SOCKET, SO_LINGER, &l, sizeof l);
            break;
          }
          if (!SendAll(channel,
                       "HTTP/1.1 " + std::to_string(reply.mStatus) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(reply.mBody.size()) + "\r\n\r\n" +
                         reply.mBody)) {
            break;
          }
        }
        ::close(channel);
      }).detach();
    }
  }).detach();
}

/// One call over a new channel; status 0 if there is no answer.
inline Reply
Call(const Address& aTo,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aHost,
     const std::string& aBody,
     std::int64_t aPatienceMs)
{
  std::int64_t deadline = NowMs() + aPatienceMs;
  int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(std::uint16_t(aTo.mPort));
  inet_pton(AF_INET, aTo.mHost.c_str(), &sa.sin_addr);
  Reply reply{ 0, "" };
  if (::connect(s, reinterpret_cast<sockaddr*>(&sa), sizeof sa) == 0) {
    std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost +
                       "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " +
                       std::to_string(aPatienceMs) +
                       "\r\nConnection: close\r\nContent-Length: " +
                       std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    if (SendAll(s, text)) {
      Reader reader(s);
      if (auto answer = reader.Read(deadline)) {
        reply = { std::stoi(answer->mSecond), answer->mBody };
      }
    }
  }
  ::close(s);
  return reply;
}

/// A port of the address that nobody listens on.
inline int
FreePort(const std::string& aHost)
{
  int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  inet_pton(AF_INET, aHost.c_str(), &sa.sin_addr);
  socklen_t n = sizeof sa;
  if (::bind(s, reinterpret_cast<sockaddr*>(&sa), sizeof sa) != 0 ||
      ::getsockname(s, reinterpret_cast<sockaddr*>(&sa), &n) != 0) {
    std::perror("bind");
    _exit(2);
  }
  ::close(s);
  return ntohs(sa.sin_port);
}

#endif
