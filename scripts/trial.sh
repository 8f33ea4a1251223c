#!/usr/bin/env bash
# Runs the commands of the pages under docs/operators, in the order of the pages, against stand-ins on loopback, and prints
# their outputs for comparison with the pages by eye. It checks nothing itself.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf build/trial
mkdir -p build/trial
# start NAME COMMAND... starts a process in the background; its output goes to build/trial/NAME.out.
start() { name=$1; shift; "$@" >"build/trial/$name.out" 2>&1 & echo $! >"build/trial/$name.pid"; }
# stop NAME SIGNAL sends the signal to a started process and waits until the process has exited.
stop() { kill -$2 "$(cat build/trial/$1.pid)"; while kill -0 "$(cat build/trial/$1.pid)" 2>/dev/null; do sleep 0.1; done; }
# await CONDITION waits until the shell command CONDITION succeeds, and fails after 60 s.
await() {
  local end=$((SECONDS + 60))
  until eval "$1"; do
    if [ $SECONDS -ge $end ]; then echo "timed out waiting for: $1" >&2; exit 1; fi
    sleep 0.2
  done
}
start store ./wasabibank standin store -listen 127.0.0.1:7400
start collector ./wasabibank standin collector -listen 127.0.0.1:7410
n=0
for id in render_01 render_02 render_03; do
  n=$((n + 1))
  start $id ./wasabibank standin server -id $id -service render_desk -keyed -domain muscat_a -store 127.0.0.1:7400 \
    -collect 127.0.0.1:7410 -listen 127.0.0.1:742$n
done
start shelf_01 ./wasabibank standin server -id shelf_01 -service template_shelf -domain muscat_b -store 127.0.0.1:7400 \
  -collect 127.0.0.1:7410 -listen 127.0.0.1:7424
for i in 1 2 3; do
  sed "s/entry_1/entry_$i/; s/127.0.0.2/127.0.0.$((i + 1))/" docs/examples/node.conf >build/trial/entry_$i.conf
  start entry_$i ./wasabibank entry -settings build/trial/entry_$i.conf
done
# stop_all ends all started processes and waits for them, so that the next run finds their addresses free.
stop_all() {
  for p in build/trial/*.pid; do kill -TERM "$(cat "$p")" 2>/dev/null || true; done
  wait
}
trap stop_all EXIT
all_admins=127.0.0.2:9464,127.0.0.3:9464,127.0.0.4:9464
store=127.0.0.1:7400
echo "## keygen"
./wasabibank bundle keygen build/trial/zahra
cp docs/examples/shashat/bundle.yaml build/trial/bundle_1.yaml
echo "## check sign"
./wasabibank bundle check build/trial/bundle_1.yaml
for signer in salma yusuf; do
  ./wasabibank bundle sign -signer $signer -key docs/examples/keys/$signer.key.pem build/trial/bundle_1.yaml
done
echo "## publish"
./wasabibank bundle publish -store $store -signers docs/examples/shashat/signers.yaml build/trial/bundle_1.yaml
# Columns READY and BUNDLE of the three instances.
await './wasabibank status -admin $all_admins | grep -c " true  *1 " | grep -qx 3'
# Column MOVING of the three answers.
await './wasabibank owner -admin $all_admins render_desk 4711 | grep -c "false" | grep -qx 3'
echo "## status"; ./wasabibank status -admin $all_admins
echo "## owner"; ./wasabibank owner -admin $all_admins render_desk 4711
echo "## curl"
curl -s -i -H 'Host: render.shashat.example' -H 'Wasabibank-Request-Id: 1' -H 'Wasabibank-Shard-Key: 4711' \
  http://127.0.0.2:7401/previews/4711
echo "## next version"
./wasabibank bundle show -store $store -raw >build/trial/bundle_2.yaml
digest=$(./wasabibank bundle check build/trial/bundle_2.yaml | sed 's/.*digest //')
sed -i "s/^version: 1/version: 2\nparent_version: 1\nparent_digest: \"$digest\"/; s/timeout: 2s/timeout: 3s/" \
  build/trial/bundle_2.yaml
./wasabibank bundle check -parent build/trial/bundle_1.yaml build/trial/bundle_2.yaml
for signer in salma yusuf; do
  ./wasabibank bundle sign -signer $signer -key docs/examples/keys/$signer.key.pem build/trial/bundle_2.yaml
done
./wasabibank bundle publish -store $store build/trial/bundle_2.yaml
sleep 1 # until all instances have applied version 2
./wasabibank timeline -admin $all_admins | grep 'configuration applied'
./wasabibank bundle history -store $store
echo "## competing versions"
for name in low high; do ./wasabibank bundle show -store $store -raw >build/trial/bundle_3_$name.yaml; done
digest=$(./wasabibank bundle check build/trial/bundle_3_low.yaml | sed 's/.*digest //')
next="s/^version: 2/version: 3/; s/^parent_version: 1/parent_version: 2/; s/^parent_digest: .*/parent_digest: \"$digest\"/"
sed -i "$next; s/^author: salma/author: noor/; s/timeout: 3s/timeout: 1s/" build/trial/bundle_3_low.yaml
sed -i "$next; s/^approver: yusuf/approver: noor/; s/timeout: 3s/timeout: 4s/" build/trial/bundle_3_high.yaml
for signer in noor yusuf; do
  ./wasabibank bundle sign -signer $signer -key docs/examples/keys/$signer.key.pem build/trial/bundle_3_low.yaml >/dev/null
done
for signer in salma noor; do
  ./wasabibank bundle sign -signer $signer -key docs/examples/keys/$signer.key.pem build/trial/bundle_3_high.yaml >/dev/null
done
./wasabibank bundle publish -store $store build/trial/bundle_3_low.yaml
# The second of two versions with the same parent is rejected.
if ./wasabibank bundle publish -store $store build/trial/bundle_3_high.yaml; then
  echo "the second version was not rejected" >&2
  exit 1
fi
echo "## entry lost"
# Column LEADER.
leader=$(./wasabibank status -admin $all_admins | awk '$5 == "itself" {print $1}'); echo "leader $leader"
other_admins=$(for i in 1 2 3; do [ entry_$i = $leader ] || printf '127.0.0.%d:9464,' $((i + 1)); done)
other_admins=${other_admins%,}
stop $leader KILL
await './wasabibank status -admin $other_admins | grep -q itself'
sleep 4 # until the new leader counts the killed instance as lost
./wasabibank status -admin $other_admins | sed -n 1,4p # unlike head, sed reads all
./wasabibank timeline -admin $other_admins | grep -E 'did not answer|became leader|instance lost' | cut -c1-150 | tail -5
start $leader ./wasabibank entry -settings build/trial/$leader.conf
await './wasabibank status -admin $all_admins >/dev/null 2>&1'
echo "## server lost"
stop render_02 KILL
# Columns KEYS and DISPATCHER of the killed server.
await '! ./wasabibank status -admin $other_admins | grep -q "render_02  *render_desk.* [1-9][0-9]*  *entry"'
./wasabibank timeline -admin $other_admins | grep -E 'render_02' | cut -c1-170 | tail -4
start render_02 ./wasabibank standin server -id render_02 -service render_desk -keyed -domain muscat_a -store $store \
  -collect 127.0.0.1:7410 -listen 127.0.0.1:7422
sleep 3 # until render_02 is registered and owns keys again
echo "## server draining"
stop render_03 TERM
./wasabibank timeline -admin $other_admins | grep -E 'render_03' | cut -c1-170 | tail -5
echo "## store unreachable"
curl -s -X POST -d '{"outage":true}' http://127.0.0.1:7400/admin/faults; echo
sleep 3 # until the instances notice that the store is unreachable
./wasabibank status -admin $all_admins | sed -n 1,4p
curl -s -X POST -d '{"outage":false}' http://127.0.0.1:7400/admin/faults; echo
sleep 2 # until the instances notice that the store is reachable again
./wasabibank timeline -admin $all_admins | grep -E 'store (unreachable|reachable again)' | cut -c1-150 | tail -4
echo "## server wants a pause"
curl -s -X POST -d '{"shed":true,"retry_after_ms":5000}' http://127.0.0.1:7424/admin/faults >/dev/null
request_frame() {
  curl -s -i -H 'Host: shelf.shashat.example' -H "Wasabibank-Request-Id: pause-$1" http://127.0.0.2:7401/frames/1 |
    grep -iE '^(HTTP|retry-after)'
}
request_frame 1 || true
request_frame 2 || true
curl -s -X POST -d '{"shed":false,"retry_after_ms":0}' http://127.0.0.1:7424/admin/faults >/dev/null
sleep 5 # until the pause has ended
request_frame 3
./wasabibank timeline -admin $all_admins | grep -E 'wants no requests' | cut -c1-150 | tail -4
for i in 2 3 4; do curl -s http://127.0.0.$i:9464/metrics | grep -E '^server_pauses'; done
echo "## store restored"
curl -s -X POST -d '{"age_ms":2000}' http://127.0.0.1:7400/admin/restore; echo
sleep 3 # until the leader has written again what was lost
./wasabibank timeline -admin $all_admins | grep -E 'older copy|new term|complete and stored' | cut -c1-150
echo "## metrics"
curl -s http://127.0.0.2:9464/metrics | grep -E '^(requests_|leads_taken|grants_|appends|refusals_|request_time_le_(100|1s))'
