#include "net/http_message.h"

#include <boost/beast/core/string.hpp>
#include <boost/url/decode_view.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/params_encoded_view.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

namespace buckthornshunt {

namespace urls = boost::urls;

std::string_view
FindField(const HttpFields& aFields, std::string_view aName)
{
  for (const auto& [name, value] : aFields) {
    if (boost::beast::iequals(name, aName)) {
      return value;
    }
  }
  return {};
}

std::string_view
TargetPath(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
QueryValue(std::string_view aTarget, std::string_view aName)
{
  auto parsed = urls::parse_origin_form(aTarget);
  if (!parsed) {
    return {};
  }
  for (auto param : parsed->encoded_params()) {
    if (*param.key == aName) {
      return DecodeUrl(
        std::string_view(param.value.data(), param.value.size()));
    }
  }
  return {};
}

std::string
EncodeUrl(std::string_view aText)
{
  return urls::encode(aText, urls::unreserved_chars);
}

std::string
DecodeUrl(std::string_view aText)
{
  auto decoded = urls::make_pct_string_view(aText);
  if (!decoded) {
    return std::string(aText);
  }
  std::string text;
  for (char c : urls::decode_view(*decoded)) {
    text.push_back(c);
  }
  return text;
}

std::vector<std::string>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < aPath.size()) {
    std::size_t end = aPath.find('/', begin);
    end = end == std::string_view::npos ? aPath.size() : end;
    if (end > begin) {
      parts.push_back(DecodeUrl(aPath.substr(begin, end - begin)));
    }
    begin = end + 1;
  }
  return parts;
}

HttpReply
MakeReply(int aStatus, std::string_view aType, std::string aBody)
{
  HttpReply reply;
  reply.mStatus = aStatus;
  reply.mFields.emplace_back("Content-Type", aType);
  reply.mBody = std::move(aBody);
  return reply;
}

} // namespace buckthornshunt
