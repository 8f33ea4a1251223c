#!/usr/bin/env bash
# The whole path as separate processes on loopback: a stand-in log, instance list and collector, three stand-in servers,
# three entries. It signs and publishes the Shashat bundle with these servers, sends 1,000 mixed requests, kills one
# entry and one server on the way with SIGKILL, and counts at the servers what came of each request.
set -euo pipefail
cd "$(dirname "$0")/.."

binary=$PWD/wasabibank
example=docs/examples/shashat
keys=docs/examples/keys
requests=1000
rate=60
kill_entry_after=300
kill_server_after=600
wait_tenths=200 # the longest wait for a state, in tenths of a second
stop_tenths=50

dir=$(mktemp -d)
declare -A pid_of=()

note() { printf 'demo: %s\n' "$*" >&2; }

# finish ends what was started and removes the files.
finish() {
  local code=$? name
  trap - EXIT INT TERM
  set +e
  # Entries stop gracefully first, while the platform and the servers still answer.
  stop_all entry_
  stop_all ''
  if [ "$code" -ne 0 ]; then
    for name in "$dir"/*.err; do
      if [ -s "$name" ]; then tail -n 20 "$name" | sed "s|^|$(basename "$name"): |" >&2; fi
    done
  fi
  rm -rf "$dir"
  exit "$code"
}

# stop_all PREFIX stops the processes whose names begin so.
stop_all() {
  local name names=()
  for name in "${!pid_of[@]}"; do
    if [[ $name == "$1"* ]]; then names+=("$name"); fi
  done
  for name in "${names[@]}"; do kill -TERM "${pid_of[$name]}" 2>/dev/null || true; done
  for name in "${names[@]}"; do
    stop_hard "${pid_of[$name]}"
    unset "pid_of[$name]"
  done
}

# stop_hard waits for the end of a process and kills it where it takes too long.
stop_hard() {
  local i
  for ((i = 0; i < stop_tenths; i++)); do
    kill -0 "$1" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "$1" 2>/dev/null || true
  wait "$1" 2>/dev/null || true
}

trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND... starts a process of the binary; its output goes to NAME.out and NAME.err.
start() {
  local name=$1
  shift
  "$binary" "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pid_of[$name]=$!
}

# await WHAT COMMAND... waits until the command succeeds.
await() {
  local what=$1 i
  shift
  for ((i = 0; i < wait_tenths; i++)); do
    if "$@"; then return 0; fi
    sleep 0.1
  done
  note "no sign of: $what"
  return 1
}

listens() { grep -q "^listening " "$dir/$1.out" 2>/dev/null; }

# address NAME [PORT] prints the address that a process listens on.
address() {
  if [ $# -eq 1 ]; then
    sed -n 's/^listening //p' "$dir/$1.out"
  else
    sed -n "s/^listening .*$2=\([^ ]*\).*/\1/p" "$dir/$1.out"
  fi
}

# http METHOD ADDRESS PATH [BODY] prints the status of the answer.
http() {
  local method=$1 host=${2%:*} port=${2##*:} path=$3 body=${4-} status
  {
    exec 9<>"/dev/tcp/$host/$port"
  } 2>/dev/null || return 1
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s' "$method" "$path" "$2" "${#body}" "$body" >&9
  read -r _ status _ <&9 || true
  exec 9>&-
  printf '%s' "$status"
}

is_ready() { [ "$(http GET "$(address "$1" admin)" /ready)" = 200 ]; }

has_sent() { grep -q "^sent $1\$" "$dir/load.err" 2>/dev/null; }

# kill_hard NAME kills one process that this script started.
kill_hard() {
  note "kill -9 $1"
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null || true
  unset "pid_of[$1]"
}

# write_bundle writes the example with the three servers in place of its own.
write_bundle() {
  awk -v render_01="$(address render_01)" -v render_02="$(address render_02)" -v shelf_01="$(address shelf_01)" '
    function server(name, domain, address) {
      printf "      - name: %s\n        failure_domain: %s\n        address: %s\n", name, domain, address
    }
    /^    servers:/ {
      print
      skipping = 1
      if (++lists == 1) { server("render_01", "muscat_a", render_01); server("render_02", "muscat_b", render_02) }
      else server("shelf_01", "muscat_c", shelf_01)
      next
    }
    skipping && /^      / { next }
    { skipping = 0; print }
  ' "$example/bundle.yaml" >"$dir/bundle.yaml"
}

# write_settings NAME DOMAIN writes the settings of one entry.
write_settings() {
  cat >"$dir/$1.yaml" <<YAML
instance: $1
failure_domain: $2
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
log_addresses:
  - $(address log)
instance_list_address: $(address roster)
peer_security:
  mode: plain
$(awk '/^first_signers:/ { on = 1; print; next } on && /^ / { print; next } { on = 0 }' "$example/entry.yaml")
YAML
}

write_plan() {
  cat >"$dir/plan.yaml" <<YAML
rate: $rate
count: $requests
seed: 1
retries: 2
retry_pause: 200ms
keys: {distribution: zipf, count: 400, prefix: app-}
classes:
  - {name: preview, service: render_desk, method: GET, path: preview, weight: 5, caller: dashboard,
     answer_bytes: 4096, timeout: 800ms}
  - {name: render_order, service: render_desk, method: POST, path: orders, weight: 3, caller: dashboard,
     at_most_once: true, body_bytes: 2048, answer_bytes: 512, timeout: 5s}
  - {name: template_pull, service: template_shelf, method: GET, path: frames/phone, weight: 2, caller: ci_plugin,
     answer_bytes: 65536, timeout: 10s}
YAML
}

if [ ! -x "$binary" ]; then
  note 'build first: make build'
  exit 1
fi

start log standin log
start roster standin roster
start collector standin collector
for name in log roster collector; do await "$name" listens "$name"; done

seed=1
for name in render_01 render_02 shelf_01; do
  start "$name" standin server -name "$name" -collect "$(address collector)" -slots 3 -connections 100 \
    -service-time 15ms -seed "$seed"
  seed=$((seed + 1))
done
for name in render_01 render_02 shelf_01; do await "$name" listens "$name"; done

domain=(muscat_a muscat_b muscat_c)
for i in 0 1 2; do
  write_settings "entry_$i" "${domain[$i]}"
  start "entry_$i" entry -settings "$dir/entry_$i.yaml"
done
instances=
for name in entry_0 entry_1 entry_2; do
  await "$name" listens "$name"
  instances="$instances${instances:+,}{\"name\":\"$name\",\"address\":\"$(address "$name" peers)\",\"state\":\"live\"}"
done
[ "$(http POST "$(address roster)" /admin/instances "{\"instances\":[$instances]}")" = 200 ]

write_bundle
"$binary" bundle sign -signer salma -key "$keys/salma.key.pem" "$dir/bundle.yaml" >"$dir/sign.out"
"$binary" bundle sign -signer yusuf -key "$keys/yusuf.key.pem" "$dir/bundle.yaml" >>"$dir/sign.out"
"$binary" bundle publish -settings "$dir/entry_0.yaml" "$dir/bundle.yaml" >"$dir/publish.out"
note 'bundle signed off and accepted'
for name in entry_0 entry_1 entry_2; do await "$name ready" is_ready "$name"; done
note 'three entries ready'

write_plan
entries=$(address entry_0 callers),$(address entry_1 callers),$(address entry_2 callers)
start load load -plan "$dir/plan.yaml" -entries "$entries" -executions "$(address collector)" -progress 50
load=${pid_of[load]}
await "$kill_entry_after requests" has_sent "$kill_entry_after"
kill_hard entry_1
await "$kill_server_after requests" has_sent "$kill_server_after"
kill_hard render_02

code=0
wait "$load" || code=$?
unset 'pid_of[load]'
cat "$dir/load.out" >&2
line=$(sed -n 's/^sent .* s: //p' "$dir/load.out")
read -r answered not_run unknown < <(sed -E 's/^([0-9]+) answered, ([0-9]+) not run, ([0-9]+) unknown.*/\1 \2 \3/' <<<"$line")
if [ -z "$line" ] || [ $((answered + not_run + unknown)) -ne "$requests" ]; then
  note 'not every request has an outcome'
  exit 1
fi
for name in "${!pid_of[@]}"; do
  if ! kill -0 "${pid_of[$name]}" 2>/dev/null; then
    note "$name ended by itself"
    code=1
  fi
done
printf 'demo: %s\n' "$line"
exit "$code"
