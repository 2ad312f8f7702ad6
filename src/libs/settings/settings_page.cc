#include "libs/settings/settings_page.h"

#include "libs/base/overloaded.h"
#include "libs/settings/key_table.h"

namespace bilberryspool::settings {
namespace {

constexpr std::string_view kIntroduction = R"(# Settings

Each process reads one TOML file: `bilberryspool ROLE --settings=FILE`, where
ROLE is `entry`, `agent`, `gateway`, `control` or `sidecar`. `bilberryspool check FILE` checks a file
without starting anything: exit 0, or 1 with a line for each fault that names
file, line, key, what was found and what is accepted. The whole file is checked
before anything starts; an unknown key is a fault. Samples are under `share/`.

The unit of a number is the last word of its key: `_ms`, `_bytes`, `_slots`,
`_permille`, `_s`. A key with a dot, such as `log.level`, is `level` in the table
`[log]`. Addresses are IP numbers with a port, never host names.

A number that may have a fraction may also be written as text, such as `"1.5"`;
where it has a default, `""` stands for it. So a template can fill in a value
that is not always known.

This page is made from the table of keys in `src/libs/settings/key_table.cc`;
a test compares the two. To write it anew, run `settings_test` with
`BILBERRYSPOOL_WRITE_PAGE=1`.

## What must agree

- `callers.listen`, `operators.listen` and `peers.listen` don't overlap, nor do
  an agent's `listen` and its `engine.address`; `0.0.0.0` overlaps each address
  with the same port.
- `limits.max_deadline_ms` is not below `limits.default_deadline_ms`, and
  `drain.grace_ms` not below `limits.max_deadline_ms`: a planned stop would cut
  requests in progress.
- `control.initial_members` needs `data_folder`, names each node and address
  once, and holds this node at its `peers.advertise`.
- `operators.credential_file` is not `key_file`; `trace.file` is not `log.file`.
- `callers.listen`, `readiness.listen` and `metrics.listen` of a gateway don't
  overlap, nor do `operators.listen`, `peers.listen` and `metrics.listen` of a
  control node, or `peers.listen` and `engine.address` of a sidecar.
- `group.name` and `group.rank` stand together. With `engine.kind = "plain"`
  there is neither a group nor `engine.checks_fencing`.

## `role`

`role = "entry"`, `"agent"`, `"gateway"`, `"control"` or `"sidecar"`, required. It says which of the keys below
may stand in the file.
)";

std::string DefaultOf(const Presence& presence) {
  return std::visit(Overloaded{
                        [](const Required&) { return std::string("required"); },
                        [](const Optional&) { return std::string("not set"); },
                        [](const DefaultValue& fallback) {
                          return "`" + ToToml(fallback.value) + "`";
                        },
                    },
                    presence);
}

std::string Section(std::string_view title, KeyScope scope) {
  std::string text = "\n## " + std::string(title) + "\n\n";
  text += "| key | default | accepted | meaning |\n|---|---|---|---|\n";
  for (const KeySpec& spec : KeyTable()) {
    if (spec.scope != scope) {
      continue;
    }
    text += "| `" + spec.name + "` | " + DefaultOf(spec.presence) + " | " +
            DescribeAccepted(spec.kind) + " | " + spec.meaning + " |\n";
  }
  return text;
}

}  // namespace

std::string SettingsPage() {
  std::string text(kIntroduction);
  text += Section("Keys of all roles", KeyScope::kAll);
  text += Section("Keys of an entry", KeyScope::kEntry);
  text += Section("Keys of an agent", KeyScope::kAgent);
  text += Section("Keys of a gateway", KeyScope::kGateway);
  text += Section("Keys of a control node", KeyScope::kControl);
  text += Section("Keys of a sidecar", KeyScope::kSidecar);
  return text;
}

}  // namespace bilberryspool::settings
