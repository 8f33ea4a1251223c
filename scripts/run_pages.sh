#!/usr/bin/env bash
# Runs every command block (```sh) of the operators' pages in their order in one shell, against the trial setup that the
# first page starts, and prints commands and output. It ends with 1 when a state that a page waits for is not reached.
set -euo pipefail
cd "$(dirname "$0")/.."
# Blocks after a line "<!-- last -->" run at the end.
pages="trial first_bundle findings competing_bundles entry_lost server_lost server_frozen server_not_checking log_down
server_leaving entries_replaced peer_credentials counters_and_events"

extract() {
  awk -v want="$1" '
    /^<!-- last -->$/ { last = 1 }
    /^```sh$/ { inside = (last == want); next }
    /^```$/ { if (inside) print ""; inside = 0; last = 0; next }
    /^```/ { next }
    inside { print }' "$2"
}

kill_rest() {
  local file
  for file in build/trial/*.pid; do
    [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
  rm -f build/trial/*.pid
}
trap kill_rest EXIT

mkdir -p build
{
  echo 'failed=0'
  for when in 0 1; do
    for page in $pages; do
      echo "echo '=== $page'"
      # A page must not await in vain.
      extract "$when" "docs/operators/$page.md" | sed -E 's/^( *await .*)$/\1 || failed=1/'
    done
  done
  echo 'exit $failed'
} >build/pages.sh
bash -v build/pages.sh 2>&1
