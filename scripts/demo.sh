#!/usr/bin/env bash
# Runs the whole path on the loopback interface: stand-ins of the platform, two
# model engines and two plain services, and three entry instances in two
# availability zones. It approves a bundle, sends streams, reads and orders,
# shows the time line of one request, and stops all that it started.
# It exits 0 only if every answer was whole.
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/demo
rm -rf "$out"
mkdir -p "$out"
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

start() { # NAME COMMAND...: starts a process in the background, its log in the output folder
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
}

fail() {
  echo "demo: $*" >&2
  exit 1
}

wait_ready() { # URL: waits until it answers with 200
  for _ in $(seq 1 300); do
    curl -sf -o /dev/null --max-time 2 "$1" && return
    sleep 0.1
  done
  fail "$1 is not ready; see the logs in $out"
}

ctl() {
  bin/savoryweirctl "$@" --store-url=http://127.0.0.1:17900 --trusted-keys="$out/trusted.ini"
}

echo "== stand-ins of the platform and of upstreams"
start objectapi bin/objectapi --address 127.0.0.1:17900 --admin 127.0.0.1:17901
start weights bin/weights --address 127.0.0.1:17910 --rate 4
for zone in a b; do
  number=$([ $zone = a ] && echo 1 || echo 2)
  start "engine-$zone" bin/engine --address 127.0.0.1:1780$number --memory-mib 40000 --weight-store http://127.0.0.1:17910
  start "bookings-$zone" bin/service --address 127.0.0.1:1781$number
done

echo "== keys of two operators, of whom both must sign"
printf '[policy]\ndeployment = demo\nrequired-signatures = 2\n\n' >"$out/trusted.ini"
for operator in anna babis; do
  bin/savoryweirctl keygen $operator --key "$out/$operator.key" >>"$out/trusted.ini"
done

echo "== three instances in two availability zones"
zones=(zone-a zone-b zone-a)
for i in 1 2 3; do
  zone=${zones[$((i - 1))]}
  cat >"$out/control-$i.ini" <<INI
[instance]
id = i$i
zone = $zone
address = 127.0.0.1

[peers]
port = 1720$i
seeds = 127.0.0.1:17201,127.0.0.1:17202

[local]
address = 127.0.0.1:1710$i

[operations]
address = 127.0.0.1:1730$i

[store]
url = http://127.0.0.1:17900

[bundles]
trusted-keys = $out/trusted.ini
INI
  cat >"$out/entry-$i.ini" <<INI
[instance]
id = i$i
zone = $zone

[callers]
address = 127.0.0.1:1700$i

[operations]
address = 127.0.0.1:1740$i

[view]
control = 127.0.0.1:1710$i
INI
  start "control-$i" bin/savoryweir-control --settings "$out/control-$i.ini"
  start "entry-$i" bin/savoryweir-entry --settings "$out/entry-$i.ini"
done

echo "== a bundle is checked, signed by both operators, and approved"
wait_ready http://127.0.0.1:17301/healthz
ctl bundle check scripts/demo/bundle
for operator in anna babis; do ctl bundle sign scripts/demo/bundle --key "$out/$operator.key"; done
ctl bundle approve scripts/demo/bundle --key "$out/anna.key"
for i in 1 2 3; do wait_ready http://127.0.0.1:1740$i/readyz; done

echo "== streams, through each instance and for each model"
chat() { # PORT MODEL REQUEST-ID: prints the stream
  curl -sN --max-time 20 "http://127.0.0.1:$1/v1/chat/completions" -H 'Content-Type: application/json' \
    -H "X-Request-Id: $3" \
    -d "{\"model\": \"$2\", \"stream\": true, \"max_tokens\": 12, \"messages\": [{\"role\": \"user\", \"content\": \"Tag this banner for Attica.\"}]}"
}
for model in banner-tags video-tags banner-tags.athens; do
  for i in 1 2 3; do
    whole=no
    for _ in $(seq 1 100); do # the first load of a model takes some seconds
      if chat 1700$i $model "demo-$model-$i" >"$out/stream.txt" && grep -q '^data: \[DONE\]' "$out/stream.txt"; then
        whole=yes
        break
      fi
      sleep 0.2
    done
    [ $whole = yes ] || { cat "$out/stream.txt"; fail "no whole stream of $model through instance $i"; }
    echo "$model through instance $i: $(grep -c '^data: {' "$out/stream.txt") events and the end mark"
  done
done

echo "== reads"
for i in 1 2 3; do
  curl -sf --max-time 10 "http://127.0.0.1:1700$i/services/bookings/status/IO-17" >"$out/read.txt" || fail "read through instance $i"
  echo "instance $i: $(cat "$out/read.txt")"
done

echo "== one order, sent to all instances with the same key at the same moment"
senders=()
for i in 1 2 3; do
  curl -s --max-time 20 -o "$out/order-$i.txt" -w '%{http_code} %header{call-outcome} replayed=%header{idempotent-replayed}\n' \
    "http://127.0.0.1:1700$i/services/bookings/orders/new" -H 'Idempotency-Key: demo-IO-17' \
    -d '{"advertiser": "acme", "amount": 100}' >"$out/order-$i.status" &
  senders+=($!)
done
wait "${senders[@]}"
for i in 1 2 3; do
  echo "instance $i: $(cat "$out/order-$i.status")"
  grep -q '^20[01] ran' "$out/order-$i.status" || fail "order through instance $i"
done
runs=$(for port in 17811 17812; do curl -s "http://127.0.0.1:$port/admin/runs"; done)
echo "runs at the services: $runs"
[ "$(grep -o '"runs":[0-9]*' <<<"$runs" | cut -d: -f2 | paste -sd+ | bc)" = 1 ] || fail "the order did not run exactly once"

echo "== state and the time line of one request"
operations=127.0.0.1:17301,127.0.0.1:17302,127.0.0.1:17303,127.0.0.1:17401,127.0.0.1:17402,127.0.0.1:17403
ctl status --operations $operations
ctl timeline --operations $operations --request demo-banner-tags-2
ctl timeline --operations $operations --format html --output "$out/timeline.html"
echo "the whole time line is in $out/timeline.html"

echo "== fallback to the first generation"
ctl bundle fallback 1 --key "$out/babis.key"
echo "demo: all answers were whole"
