#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback: stand-ins for the platform's store and for three backend
# servers, a collector of the servers' executions, and three entry instances. Signs and publishes the Shashat bundle,
# sends 1,000 mixed requests, kills one entry and one server with SIGKILL meanwhile, and checks the outcome of each
# request against the executions that the servers report.
set -euo pipefail
cd "$(dirname "$0")/.."

binary=$PWD/wasabibank
example=docs/examples/shashat
keys=docs/examples/keys
requests=1000
rate=60
kill_entry_after=300
kill_server_after=600
# Longest waits for a state and for the exit of a process, in tenths of a second.
wait_tenths=200
exit_tenths=100
# Ports from docs/examples/node.conf, and the port of the admin API.
client_port=7401
ready_port=7402
admin_port=9464

dir=$(mktemp -d)
declare -A pid_of=() ip_of=()
cp "$example/bundle.yaml" "$dir/bundle.yaml"

# log MESSAGE prints a line of progress to stderr; stdout gets only the summary at the end.
log() { printf 'demo: %s\n' "$*" >&2; }

# clean_up stops all started processes, prints their errors after a failure, and removes the temporary files.
clean_up() {
  local code=$? name
  trap - EXIT INT TERM
  set +e
  # Entries stop first: their graceful shutdown needs the store and the servers.
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

# stop_all PREFIX stops the processes whose names start with PREFIX.
stop_all() {
  local name names=()
  for name in "${!pid_of[@]}"; do
    if [[ $name == "$1"* ]]; then names+=("$name"); fi
  done
  for name in "${names[@]}"; do kill -TERM "${pid_of[$name]}" 2>/dev/null || true; done
  for name in "${names[@]}"; do
    wait_or_kill "${pid_of[$name]}"
    unset "pid_of[$name]"
  done
}

# wait_or_kill PID waits until the process exits, and kills it after exit_tenths.
wait_or_kill() {
  local i
  for ((i = 0; i < exit_tenths; i++)); do
    kill -0 "$1" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "$1" 2>/dev/null || true
  wait "$1" 2>/dev/null || true
}

trap clean_up EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME ARGUMENT... starts the binary in the background; its output goes to NAME.out and NAME.err.
start() {
  local name=$1
  shift
  "$binary" "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pid_of[$name]=$!
}

# await DESCRIPTION COMMAND... waits until the command succeeds, and fails after wait_tenths.
await() {
  local description=$1 i
  shift
  for ((i = 0; i < wait_tenths; i++)); do
    if "$@"; then return 0; fi
    sleep 0.1
  done
  log "timed out waiting for: $description"
  return 1
}

is_listening() { grep -q "^listening " "$dir/$1.out" 2>/dev/null; }

# address NAME prints the address that a stand-in listens on.
address() { sed -n 's/^listening //p' "$dir/$1.out"; }

# http_status METHOD ADDRESS PATH [BODY] sends a request and prints the status code of the answer.
http_status() {
  local method=$1 host=${2%:*} port=${2##*:} path=$3 body=${4-} status
  {
    exec 9<>"/dev/tcp/$host/$port"
  } 2>/dev/null || return 1
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s' "$method" "$path" "$2" "${#body}" "$body" >&9
  read -r _ status _ <&9 || true
  exec 9>&-
  printf '%s' "$status"
}

is_ready() { [ "$(http_status GET "${ip_of[$1]}:$ready_port" /-/ready)" = 200 ]; }

# knows_owner NAME succeeds if the entry NAME knows the owner of key 0 of render_desk.
knows_owner() { "$binary" owner -admin "${ip_of[$1]}:$admin_port" render_desk 0 2>/dev/null | grep -q "render_0.*false"; }

# has_sent COUNT succeeds once the load has sent COUNT requests.
has_sent() { grep -q "^sent $1\$" "$dir/load.err" 2>/dev/null; }

# kill_process NAME kills a started process with SIGKILL.
kill_process() {
  log "kill -9 $1"
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null || true
  unset "pid_of[$1]"
}

seed=0

# start_server NAME SERVICE DOMAIN [FLAGS] starts a stand-in server, each with another seed.
start_server() {
  local name=$1 service=$2 domain=$3
  shift 3
  seed=$((seed + 1))
  start "$name" standin server -id "$name" -service "$service" -domain "$domain" -store "$(address store)" \
    -collect "$(address collector)" -slots 3 -service-time 15ms -seed "$seed" "$@"
}

# write_settings NAME DOMAIN IP writes the settings file of the entry NAME.
write_settings() {
  sed -e "s/entry_1/$1/; s/muscat_a/$2/; s/127\.0\.0\.2/$3/g; s/127\.0\.0\.1:7400/$(address store)/" \
    docs/examples/node.conf >"$dir/$1.conf"
}

# write_plan writes the plan of the load.
write_plan() {
  cat >"$dir/plan.yaml" <<YAML
rate: $rate
count: $requests
seed: 1
retries: 2
retry_pause: 200ms
keys: {distribution: zipf, count: 400}
classes:
  - {name: preview, host: render.shashat.example, path: /previews/, keyed: true, weight: 5, answer_bytes: 4096, timeout: 2s}
  - {name: render_order, host: render.shashat.example, path: /orders/, keyed: true, method: POST, weight: 3,
     at_most_once: true, body_bytes: 2048, answer_bytes: 512, timeout: 2500ms}
  - {name: template_pull, host: shelf.shashat.example, path: /frames/, weight: 2, answer_bytes: 65536, timeout: 4s}
YAML
}

if [ ! -x "$binary" ]; then
  log "$binary not found; run 'make build' first"
  exit 1
fi

start store standin store
start collector standin collector
for name in store collector; do await "$name listening" is_listening "$name"; done

start_server render_01 render_desk muscat_a -keyed
start_server render_02 render_desk muscat_b -keyed
start_server shelf_01 template_shelf muscat_c
for name in render_01 render_02 shelf_01; do await "$name listening" is_listening "$name"; done

"$binary" bundle sign -signer salma -key "$keys/salma.key.pem" "$dir/bundle.yaml" >"$dir/sign.out"
"$binary" bundle sign -signer yusuf -key "$keys/yusuf.key.pem" "$dir/bundle.yaml" >>"$dir/sign.out"
"$binary" bundle publish -store "$(address store)" -signers "$example/signers.yaml" "$dir/bundle.yaml" >"$dir/publish.out"
log 'bundle signed and published'

domains=(muscat_a muscat_b muscat_c)
for i in 0 1 2; do
  name=entry_$i
  ip_of[$name]=127.0.0.$((i + 2))
  write_settings "$name" "${domains[$i]}" "${ip_of[$name]}"
  start "$name" entry -settings "$dir/$name.conf"
done
for name in entry_0 entry_1 entry_2; do
  await "$name ready" is_ready "$name"
  await "$name knows owners" knows_owner "$name"
done
log 'three entries ready'

write_plan
entries=${ip_of[entry_0]}:$client_port,${ip_of[entry_1]}:$client_port,${ip_of[entry_2]}:$client_port
start load load -plan "$dir/plan.yaml" -entries "$entries" -executions "$(address collector)" -progress 50
load_pid=${pid_of[load]}
await "$kill_entry_after requests sent" has_sent "$kill_entry_after"
kill_process entry_1
await "$kill_server_after requests sent" has_sent "$kill_server_after"
kill_process render_02

code=0
wait "$load_pid" || code=$?
unset 'pid_of[load]'
cat "$dir/load.out" >&2
summary=$(sed -n 's/^sent .* s: //p' "$dir/load.out")
read -r answered not_run unknown \
  < <(sed -E 's/^([0-9]+) answered, ([0-9]+) not run, ([0-9]+) unknown.*/\1 \2 \3/' <<<"$summary")
if [ -z "$summary" ] || [ $((answered + not_run + unknown)) -ne "$requests" ]; then
  log 'some requests have no outcome'
  exit 1
fi
for name in "${!pid_of[@]}"; do
  if ! kill -0 "${pid_of[$name]}" 2>/dev/null; then
    log "$name exited unexpectedly"
    code=1
  fi
done
printf 'demo: %s\n' "$summary"
exit "$code"
