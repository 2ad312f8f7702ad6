#include "plugins/control/ledger_file.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "libs/attempts/ledger_json.h"

namespace bilberryspool::control {

namespace json = boost::json;

namespace {

constexpr char kFileName[] = "holder";
constexpr char kTemporaryFileName[] = "holder.new";

}  // namespace

storage::Result<std::string> LedgerFile::ReadIfExists() {
  BOOST_LEAF_AUTO(names, files_.List(folder_));
  const bool exists =
      std::find(names.begin(), names.end(), kFileName) != names.end();
  if (!exists) {
    return std::string();
  }
  return files_.Read(folder_ + "/" + kFileName);
}

storage::Result<RecoveredLedger> LedgerFile::ReadAndClear() {
  BOOST_LEAF_AUTO(text, ReadIfExists());
  RecoveredLedger recovered;
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* number =
      object != nullptr ? object->if_contains("incarnation") : nullptr;
  if (number != nullptr && number->is_int64()) {
    recovered.incarnation =
        Incarnation(static_cast<std::uint64_t>(number->as_int64()) + 1);
  }
  const auto* ledger =
      object != nullptr ? object->if_contains("ledger") : nullptr;
  if (ledger != nullptr) {
    recovered.ledger = attempts::LedgerFromJson(*ledger);
  }
  incarnation_ = recovered.incarnation;
  BOOST_LEAF_CHECK(Write(
      json::serialize(json::object{{"incarnation", incarnation_.value()}})));
  return recovered;
}

storage::Result<void> LedgerFile::Store(const attempts::LedgerExport& ledger) {
  return Write(
      json::serialize(json::object{{"incarnation", incarnation_.value()},
                                   {"ledger", attempts::ToJson(ledger)}}));
}

storage::Result<void> LedgerFile::Write(const std::string& text) {
  const std::string temporary = folder_ + "/" + kTemporaryFileName;
  {
    BOOST_LEAF_AUTO(file, files_.OpenAppend(temporary));
    // An earlier crash may have left an incomplete file.
    BOOST_LEAF_CHECK(files_.Truncate(temporary, 0));
    BOOST_LEAF_CHECK(file->Append(text));
    BOOST_LEAF_CHECK(file->Sync());
  }
  BOOST_LEAF_CHECK(files_.Rename(temporary, folder_ + "/" + kFileName));
  return files_.SyncFolder(folder_);
}

}  // namespace bilberryspool::control
