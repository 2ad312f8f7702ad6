// Carries a holder's ledger of claims over a planned restart.
//
// Guards against two faults. A holder that restarts abstains for the whole
// window, so restarting the control replicas one after the other would refuse
// all non-idempotent work for that long. And a ledger that is read twice, by a
// process that crashed and started again, would lack the votes in between: so
// the file is emptied, and synced, before anything is granted.

#ifndef PLUGINS_CONTROL_LEDGER_FILE_H_
#define PLUGINS_CONTROL_LEDGER_FILE_H_

#include <optional>
#include <string>

#include "libs/attempts/claim_holder.h"
#include "libs/storage/file_system.h"

namespace bilberryspool::control {

// What a start found.
struct RecoveredLedger {
  // One above that of the start before.
  Incarnation incarnation{1};
  // Only after a planned stop.
  std::optional<attempts::LedgerExport> ledger;
};

// The file "holder" in the data folder.
class LedgerFile {
 public:
  LedgerFile(storage::FileSystem& files, std::string folder)
      : files_(files), folder_(std::move(folder)) {}

  // Reads the file and leaves it without a ledger. To be called once a start.
  storage::Result<RecoveredLedger> ReadAndClear();
  // At a planned stop, after the holder's last vote.
  storage::Result<void> Store(const attempts::LedgerExport& ledger);

 private:
  storage::Result<std::string> ReadIfExists();
  storage::Result<void> Write(const std::string& text);

  storage::FileSystem& files_;
  std::string folder_;
  Incarnation incarnation_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_LEDGER_FILE_H_
