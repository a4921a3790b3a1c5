#!/usr/bin/env bash
# Show one site on loopback: start it, roll a bundle, ask it something, stop it.
set -euo pipefail
cd "$(dirname "$0")"

BASE="${MIMOSASPUR_DEMO_PORT:-17000}"
WORK=$(mktemp -d)
PIDS=()
DAEMONS=()

say() { printf '\n== %s\n' "$*"; }

stop_all() {
  local pid
  for pid in "${DAEMONS[@]:-}" "${PIDS[@]:-}"; do
    [ -n "$pid" ] && kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}
trap stop_all EXIT

address() { echo "127.0.0.1:$((BASE + $1))"; }

# Wait until a command succeeds, 30 seconds at the longest.
await() {
  local end=$((SECONDS + 30))
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "demo: gave up waiting for: $*" >&2
      tail -n 5 "$WORK"/*.log >&2
      return 1
    fi
    sleep 0.1
  done
}

standin() {
  local name=$1
  shift
  python -m mimosaspur_standins "$@" >"$WORK/$name.log" 2>&1 &
  PIDS+=($!)
}

# Write a daemon's settings from an example file, start it and enter it in the instance list.
daemon() {
  local name=$1 role=$2 domain=$3 address=$4 section=$5
  cat >"$WORK/$name.json" <<JSON
{
  // Who this instance is.
  "role": "$role",
  "instance": {"name": "$name", "region": "alajuela", "failure_domain": "$domain"},
  "platform": {"object_api": "$(address 0)", "instance_list": "$(address 0)"},
  "$role": $section
}
JSON
  mimosaspur settings check "$WORK/$name.json" >/dev/null
  mimosaspurd --settings "$WORK/$name.json" >"$WORK/$name.log" 2>&1 &
  DAEMONS+=($!)
  curl -sf -X PUT "http://$(address 0)/instances/$name" -H 'Content-Type: application/json' \
    -d "{\"name\": \"$name\", \"role\": \"$role\", \"address\": \"$address\", \"region\":
         \"alajuela\", \"failure_domain\": \"$domain\", \"state\": \"live\"}" >/dev/null
}

say "Starting the stand-ins: object API, weight store, three engines, one plain service"
standin objectapi objectapi --address "$(address 0)"
standin weightstore weightstore --address "$(address 1)" --loads-per-second 2 --at-once 6
await curl -sf "http://$(address 0)/instances"
DOMAINS=(terminal-norte terminal-sur hangar-oeste)
for i in 0 1 2; do
  standin "engine-$i" engine --address "$(address $((11 + i)))" --capacity-mb 40000 --capacity-mb 40000 \
    --weights "$(address 1)"
done
standin bookings service --address "$(address 21)"

say "Starting two entries and four targets in three failure domains"
for i in 0 1 2; do
  daemon "model-$i" target "${DOMAINS[$i]}" "$(address $((111 + i)))" \
    "{\"listen\": \"$(address $((111 + i)))\", \"kind\": \"engine\",
      \"address\": \"$(address $((11 + i)))\"}"
done
daemon dispatch-0 target hangar-oeste "$(address 121)" \
  "{\"listen\": \"$(address 121)\", \"kind\": \"service\", \"service\": \"bookings\",
    \"address\": \"$(address 21)\"}"
for i in 0 1; do
  daemon "entry-$i" entry "${DOMAINS[$i]}" "$(address $((201 + i)))" \
    "{\"listen\": \"$(address $((201 + i)))\"}"
done
await curl -sf "http://$(address 201)/healthz"
await curl -sf "http://$(address 202)/healthz"

say "Writing, approving and rolling a bundle"
export MIMOSASPUR_OBJECT_API=$(address 0)
statuses() { [ "$(curl -s "http://$(address 0)/objects?prefix=status/" | grep -o '"beat"' | wc -l)" -ge 4 ]; }
await statuses
mimosaspur bundle write bundle.json --operator ana
mimosaspur bundle approve night-bank --operator luis
mimosaspur bundle roll night-bank --operator ana
mimosaspur bundle status

ENTRY="http://$(address 201)"
OTHER="http://$(address 202)"
ask() {
  curl -sS --fail-with-body "$1/v1/chat/completions" -H 'Content-Type: application/json' -d \
    "{\"model\": \"$2\", \"max_tokens\": 6, \"stream\": $3,
      \"messages\": [{\"role\": \"user\", \"content\": \"Gate 7, one wheelchair.\"}]}"
}

await ask "$ENTRY" handover-es false
await ask "$OTHER" dispatch-notes false

say "A whole answer"
ask "$ENTRY" handover-es false
say "A streamed answer, through the other entry"
ask "$OTHER" dispatch-notes true
say "A pickup booking, twice with the same key: it runs once and the answer is replayed"
for entry in "$ENTRY" "$OTHER"; do
  await curl -sf "$entry/services/bookings/health"
  curl -sS --fail-with-body -D - "$entry/services/bookings/pickups" -H 'Idempotency-Key: gate-7-2140' \
    -H 'Content-Type: application/json' -d '{"gate": 7, "at": "21:40"}' | grep -iv '^date\|^server'
  echo
done
say "The audit trail and the placement"
mimosaspur audit
mimosaspur placement show

say "Stopping everything gracefully"
for pid in "${DAEMONS[@]}"; do
  kill "$pid"
done
for pid in "${DAEMONS[@]}"; do
  wait "$pid"
done
DAEMONS=()
say "Done"
