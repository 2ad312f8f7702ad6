#include "libs/rpc/internal/json_text.h"

#include <exception>
#include <memory>

#include <jsoncpp/json/reader.h>

namespace bilberryspool {
namespace rpc {
namespace internal {
namespace {

constexpr int kMaxDepth = 16;

Json::CharReaderBuilder MakeReaderBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxDepth;
  return builder;
}

}  // namespace

bool ReadJson(const std::string& text, Json::Value& value) {
  static const Json::CharReaderBuilder builder = MakeReaderBuilder();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(text.data(), text.data() + text.size(), &value,
                         nullptr);
  } catch (const std::exception&) {
    return false;  // nested too deep
  }
}

}  // namespace internal
}  // namespace rpc
}  // namespace bilberryspool
