// Keeps a holder's ledger of claims across a planned restart.
//
// Without its ledger a holder abstains for a whole window after a restart, so
// restarting the control replicas one after the other would refuse all
// non-idempotent requests for that long. A ledger must not be read twice: after
// a crash it would lack the votes given since it was first read. So the file is
// rewritten without the ledger, and synced, before anything is granted.

#ifndef PLUGINS_CONTROL_LEDGER_FILE_H_
#define PLUGINS_CONTROL_LEDGER_FILE_H_

#include <optional>
#include <string>

#include "libs/attempts/claim_holder.h"
#include "libs/storage/file_system.h"

namespace bilberryspool::control {

// What a start found in the file.
struct RecoveredLedger {
  // One more than that of the previous start.
  Incarnation incarnation{1};
  // Set only after a planned stop.
  std::optional<attempts::LedgerExport> ledger;
};

// The file "holder" in the data folder.
class LedgerFile {
 public:
  LedgerFile(storage::FileSystem& files, std::string folder)
      : files_(files), folder_(std::move(folder)) {}

  // Reads the file and rewrites it with the new incarnation and without a
  // ledger. To be called once per start.
  storage::Result<RecoveredLedger> ReadAndClear();
  // Called at a planned stop, after the holder's last vote.
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
