#include "plugins/control/ledger_file.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <filesystem>

#include "libs/storage/posix_file_system.h"

namespace bilberryspool::control {
namespace {

std::string MakeFolder(const char* name) {
  const auto folder = std::filesystem::temp_directory_path() /
                      (std::string("bilberryspool-") + name);
  std::filesystem::remove_all(folder);
  std::filesystem::create_directory(folder);
  return folder.string();
}

RecoveredLedger ReadAndClear(LedgerFile& file) {
  RecoveredLedger recovered;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(recovered, file.ReadAndClear());
        return {};
      },
      [] { FAIL("the ledger file can't be read"); });
  return recovered;
}

void Store(LedgerFile& file, const attempts::LedgerExport& ledger) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> { return file.Store(ledger); },
      [] { FAIL("the ledger file can't be written"); });
}

// Guards against a non-idempotent request that runs twice. A holder stops as
// planned, starts, votes, is killed and starts again. If it then read the
// ledger of the planned stop a second time, it would lack the votes given
// since.
TEST_CASE("a ledger is imported only once") {
  storage::PosixFileSystem files;
  const std::string folder = MakeFolder("ledger-once");
  LedgerFile first(files, folder);
  const RecoveredLedger new_folder = ReadAndClear(first);
  CHECK(new_folder.incarnation == Incarnation(1));
  CHECK_FALSE(new_folder.ledger.has_value());
  Store(first, {NodeId("h"), new_folder.incarnation, {}});

  LedgerFile second(files, folder);
  const RecoveredLedger after_stop = ReadAndClear(second);
  CHECK(after_stop.incarnation == Incarnation(2));
  REQUIRE(after_stop.ledger.has_value());
  CHECK(after_stop.ledger->incarnation == Incarnation(1));

  LedgerFile third(files, folder);
  const RecoveredLedger after_kill = ReadAndClear(third);
  CHECK(after_kill.incarnation == Incarnation(3));
  CHECK_FALSE(after_kill.ledger.has_value());
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace bilberryspool::control
