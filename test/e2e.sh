#!/usr/bin/env bash
# End to end, with real processes on loopback: what operators are told to do, and what must hold when a node stops.
# Verdicts are counts and answers, never times.
set -eu
cd "$(dirname "$0")/.."
folder="$(mktemp -d)"
. scripts/deployment.sh
trap 'stop_deployment; rm -rf "$folder"' EXIT
scripts/make-deployment auckland "$folder" "${1:-23000}"
start_deployment "$folder"

fail() { echo "FAILED: $*" >&2; exit 1; }
expect() { # WHAT PATTERN TEXT
  case "$3" in *$2*) ;; *) fail "$1: '$2' is not in: $3" ;; esac
}
ctl() { build/robinrunctl "$@" 2>&1; }
refused() { # STATUS COMMAND... : the command must end with the status
  local want="$1" status=0; shift
  refused_text="$("$@" 2>&1)" || status=$?
  [ "$status" = "$want" ] || fail "$*: ended with $status, not $want: $refused_text"
}
ingress() { awk -v n="$1" '$1 == "host" && ++i == n { split($3, a, ":"); print a[1] ":" a[2] - 200 }' "$folder/processes"; }
call() { curl -s -i --max-time 10 -H "Robinrun-Credential: secret-practice-a" "$@"; }

# The operators' pages: every command of theirs, as it stands.
awk '/^```sh$/ { on = 1; next } /^```$/ { on = 0 } on' docs/OPERATING.md >"$folder/pages.sh"
build="$PWD/build"
pages="$(cd "$folder" && PATH="$build:$PATH" bash -eu pages.sh 2>&1)" || fail "a command of docs/OPERATING.md: $pages"
expect "the pages" "refused: services/decks has moved on" "$pages"
expect "the pages' watch" "services/decks by demo accepted" "$pages"
expect "the pages' end" "services/decks deleted" "$pages"

# More of the operators' command line.
expect "get" "services/lodgement" "$(ctl get services)"
expect "get as JSON" '"retry_fraction"' "$(ctl -o json get services/refunds)"
expect "get as YAML" "queue_limit: 256" "$(ctl -o yaml get services/refunds)"
expect "status" "in force at 13 of 13" "$(wait_until 15 sh -c 'build/robinrunctl status | grep -q "in force at 13 of 13"'; ctl status)"
cat >"$folder/change.yaml" <<'Y'
name: services/penalties
service: {deadline_ms: 1500, retry_fraction: 0.1, queue_limit: 100, probes_per_s: 0.5, probe_slot_share: 0.001}
Y
expect "dry run" "would change" "$(ctl -n apply -f "$folder/change.yaml")"
expect "apply" "services/penalties applied" "$(ctl apply -f "$folder/change.yaml")"
expect "apply again" "unchanged" "$(ctl apply -f "$folder/change.yaml")"
sed -i 's/1500/1600/' "$folder/change.yaml"
refused 1 build/robinrunctl -v 1 apply -f "$folder/change.yaml"
expect "a lost race" "412" "$refused_text"
printf 'name: services/x\nservice: {deadline_ms: 0}\n' >"$folder/bad.yaml"
refused 2 build/robinrunctl apply -f "$folder/bad.yaml"
expect "a bad file" "bad.yaml:1: service.deadline_ms: must be above 0" "$refused_text"
refused 1 build/robinrunctl -t wrong get services
expect "a wrong token" "401" "$refused_text"
refused 2 build/robinrunctl -s nowhere get services
refused 1 build/robinrunctl -s "$(nth_backend 1)" apply -f "$folder/change.yaml"
expect "a server of another kind" "what the server answers for services/penalties is no resource" "$refused_text"
refused 2 build/robinrun-node --settings "$folder/no-such-file.yaml"
expect "settings" "settings and charts are good" "$(build/robinrun-node -c -s "$folder/node-refunds-1.yaml")"
curl -s -o "$folder/answer" -w '%{http_code}' -X PUT -H "Authorization: Bearer demo-operator" -d '{}' \
  "http://$ROBINRUN_SERVER/v1/services/penalties" | grep -q 428 || fail "a write without If-Match is not 428"

# Callers.
expect "a call" "Robinrun-Outcome: answered" "$(call "http://$(ingress 1)/tracking/returns/1")"
expect "a call by host" "Robinrun-Outcome: answered" "$(call -H "Host: penalties.example" "http://$(ingress 2)/check")"
expect "no service" "404" "$(call "http://$(ingress 1)/nothing/x")"
expect "no credential" "401" "$(curl -s -i "http://$(ingress 1)/tracking/returns/1")"
expect "a bad key" "400" "$(call -H "Idempotency-Key: abc" -X POST -d x "http://$(ingress 1)/lodgement/lodge")"
key="$(date +%s):e2e-$$"
first="$(call -H "Idempotency-Key: $key" -H "Nonce: k1" -H "Once: true" -X POST -d x "http://$(ingress 1)/lodgement/lodge")"
again="$(call -H "Idempotency-Key: $key" -H "Nonce: k1" -H "Once: true" -X POST -d x "http://$(ingress 5)/lodgement/lodge")"
expect "a keyed call" "nonce=k1;" "$first"
expect "its repeat through another node" "nonce=k1;" "$again"
ticket="$(call -X POST "http://$(ingress 3)/refunds/tickets" | tr -d '\r' | sed -n 's/^Robinrun-Ticket: //p')"
control "$platform" "outage_ms=4000"
expect "a ticket while the log is out" "nonce=t1;" \
  "$(call -H "Robinrun-Ticket: $ticket" -H "Nonce: t1" -X POST -d y "http://$(ingress 4)/refunds/authorise")"
outage="$(call -H "Idempotency-Key: $(date +%s):out-$$" -X POST -d x "http://$(ingress 1)/lodgement/lodge")"
expect "a keyed call while the log is out" "Robinrun-Outcome: not-run" "$outage"
expect "and its advice" "Robinrun-Advice: take-ticket" "$outage"
expect "the ticket's repeat" "nonce=t1;" \
  "$(call -H "Robinrun-Ticket: $ticket" -H "Nonce: t1" -X POST -d y "http://$(ingress 6)/refunds/authorise")"
expect "a ticket for another request" "422" \
  "$(call -H "Robinrun-Ticket: $ticket" -X POST -d other "http://$(ingress 4)/refunds/authorise")"

# SIGHUP reads the settings again; bad ones leave the old ones in force. Neither ends the node.
hup="$(nth_name 3)"
signal_node "$hup" HUP
expect "a call after SIGHUP" "Robinrun-Outcome: answered" "$(call "http://$(ingress 3)/tracking/returns/1")"
cp "$folder/node-$hup.yaml" "$folder/kept.yaml"
echo "no_such_field: 1" >>"$folder/node-$hup.yaml"
signal_node "$hup" HUP
expect "a call after SIGHUP with bad settings" "Robinrun-Outcome: answered" "$(call "http://$(ingress 3)/tracking/returns/1")"
cp "$folder/kept.yaml" "$folder/node-$hup.yaml"

# A planned stop of a node under load cuts off nothing: no call is lost or unknown, none is wrong or runs twice.
sed -e 's/^duration: .*/duration: 6s/' -e 's/rate: [0-9]\{3,\}/rate: 50/' "$folder/load.yaml" >"$folder/stop-load.yaml"
stopped="$(nth_name 2)"
stopped_callers="$(awk -v n="$stopped" '$1 == "host" && $2 == n { split($3, a, ":"); print a[1] ":" a[2] - 200 }' "$folder/processes")"
sed -i "s/'$stopped_callers', //" "$folder/stop-load.yaml" # callers were told to leave this ingress beforehand
( sleep 2; signal_node "$stopped" TERM ) &
build/robinrun-load --json --spec "$folder/stop-load.yaml" >"$folder/stop-result" || fail "the load: $(cat "$folder/stop-result")"
wait_until 10 sh -c "! kill -0 ${node_pid[$stopped]} 2>/dev/null"
wait "${node_pid[$stopped]}" && status=0 || status=$?
[ "$status" = 0 ] || fail "the stopped node ended with $status"
last="$(tail -1 "$folder/stop-result")"

expect "no outcome unknown" "unknown=0 wrong=0 ran_twice=0" "$last"
grep -q '"no_reply":[1-9]' "$folder/stop-result" && fail "calls without a reply: $(cat "$folder/stop-result")"
echo "$last"
echo "e2e passed"
