#!/bin/sh
# A small Valuation Mesh in separate processes on loopback: ordinary load, a
# surge, and a new bundle in its middle. Ends by itself in under a minute.
#
# Exits 1 if an answer was wrong, once-only work ran twice, a request that
# was refused as not run had run, the new bundle did not come into force
# everywhere, or a daemon's planned stop failed. The last line is one JSON
# object with the counts.
#
# Wants sassafras, sassafrasstaird, sassafras-standin and python on PATH.
set -eu

here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=examples/lib.sh
. "$here/lib.sh"
work=$(mktemp -d "${TMPDIR:-/tmp}/sassafrasstair-demo.XXXXXX")
host=127.0.0.1
domains="pos-a pos-b arima"
services="ledger poster intake pricer"
seconds=${DEMO_SECONDS:-24}
rate=${DEMO_RATE:-50}
surge=${DEMO_SURGE:-6}

# --- Processes: only those started here are ended, by id. -----------------

daemons=""
others=""
load=""

stop() {
    trap - EXIT INT TERM
    # shellcheck disable=SC2086
    end_processes $load $daemons $others
    rm -rf "$work"
}
stop_on_exit

say() { printf '%s\n' "$*" >&2; }

fail() {
    say "demo: $*"
    exit 1
}

# --- Free ports, each used once. -------------------------------------------

pick_ports 64

# --- The platform, with the operators' first bundle. ------------------------

next_port; platform=$host:$port
next_port; control=$host:$port

say "demo: starting the platform's stand-in"
sassafras-standin platform --listen "$platform" --control "$control" \
    >"$work/platform.log" 2>&1 &
others="$others $!"

key=$(sassafras key new ops-1 --output "$work/ops-1.key")
cp "$here/trust.bundle.json" "$work/1.json"
sed -e 's/"version": 1,/"version": 2,/' \
    -e 's/"supersedes": 0,/"supersedes": 1,/' \
    "$here/trust.bundle.json" >"$work/2.json"
for version in 1 2; do
    sassafras bundle approve "$work/$version.json" --key "$work/ops-1.key" \
        --output "$work/$version.envelope" 2>"$work/approve.log"
done

# --- The VMs: an upstream and a daemon on each. -----------------------------

upstream_options() {
    # The ledger is the deep and scarce one: 3 x 20 slots of 0.4 s each
    # carry 150 calls a second, half of what the surge asks for.
    case $1 in
    ledger) echo "--slots 20 --service-ms 400" ;;
    poster) echo "--slots 160 --service-ms 20 --calls ledger" ;;
    intake) echo "--slots 160 --service-ms 30 --calls poster" ;;
    pricer) echo "--slots 160 --service-ms 10 --calls ledger" ;;
    esac
}

vms=""
callers=""
operators=""
upstreams=""
seeds=""
start_vm() {
    vm=$1-$2
    next_port; upstream=$host:$port
    next_port; caller=$host:$port
    next_port; peer=$host:$port
    next_port; operator=$host:$port
    [ -n "$seeds" ] || seeds=\"$peer\"
    cat >"$work/$vm.json" <<END
{
  "vm": "$vm", "service": "$1", "failure_domain": "$2",
  "region": "tt-north",
  "callers": {"listen": "$caller"},
  "peers": {"listen": "$peer", "seeds": [$seeds]},
  "operators": {"listen": "$operator"},
  "upstream": {"url": "http://$upstream"},
  "platform": {"urls": ["http://$platform"]},
  "keys": [$key],
  "log": {"format": "keyvalue", "level": "info"}
}
END
    # shellcheck disable=SC2046
    sassafras-standin upstream --listen "$upstream" --service "$1" \
        --daemon "http://$caller" $(upstream_options "$1") \
        >"$work/$vm.upstream.log" 2>&1 &
    others="$others $!"
    sassafrasstaird --settings "$work/$vm.json" >"$work/$vm.log" 2>&1 &
    daemons="$daemons $!"
    vms="$vms${vms:+,}{\"vm\":\"$vm\",\"service\":\"$1\",\
\"failure_domain\":\"$2\",\"region\":\"tt-north\",\
\"address\":\"$peer\",\"state\":\"live\"}"
    callers="$callers --daemon http://$caller"
    operators="$operators $operator"
    upstreams="$upstreams --upstream http://$upstream"
}

say "demo: starting 12 upstreams and 12 daemons"
for domain in $domains; do
    for service in $services; do
        start_vm "$service" "$domain"
    done
done
printf '[%s]' "$vms" >"$work/vms.json"

tries=0
until sassafras-standin control --url "http://$control" \
    put sassafrasstair/vms "$work/vms.json" 2>/dev/null; do
    tries=$((tries + 1))
    [ $tries -lt 20 ] || fail "the platform's stand-in did not start"
    sleep 0.25
done
# Publish bundle $1 and print how long it took until every daemon serves by
# it; give up after $2 seconds.
publish() {
    # shellcheck disable=SC2086
    python - "$1" "$2" "$control" "$work/$1.envelope" $operators <<'END'
import json
import sys
import time
import urllib.request

version, limit, control, envelope, *daemons = sys.argv[1:]


def ask(url, method="GET", body=None):
    request = urllib.request.Request(url, body, method=method)
    with urllib.request.urlopen(request, timeout=2) as answer:
        return answer.read()


def serves(daemon):
    try:
        told = json.loads(ask(f"http://{daemon}/status"))
    except (OSError, ValueError):
        return False
    held = told["in_force"]["bundle"]["version"]
    return held == int(version) and told["state"] == "serving"


with open(envelope, "rb") as file:
    body = file.read()
began = time.monotonic()
ask(f"http://{control}/keys/sassafrasstair/bundles/all", "PUT", body)
while daemons and time.monotonic() - began < float(limit):
    daemons = [daemon for daemon in daemons if not serves(daemon)]
    time.sleep(0.02)
print(round(time.monotonic() - began, 2))
sys.exit(bool(daemons))
END
}

started=$(publish 1 20) || fail "bundle 1 is not in force everywhere"
say "demo: bundle 1 in force on 12 daemons after ${started} s"

# --- Load, a surge, and a new bundle. ---------------------------------------

say "demo: $rate calls a second for $seconds s, up to $surge times in the" \
    "middle third"
# shellcheck disable=SC2086
sassafras-standin load $callers $upstreams --bundle "$work/1.json" \
    --seconds "$seconds" --rate "$rate" --surge-factor "$surge" \
    --mix valuation-lookup=6 --mix write-down=2 --mix stock-upload=1 \
    --mix accountant-report=3 --body stock-upload=200000 \
    --hasty 0.3 --tail 5 >"$work/load.out" &
load=$!

# The new bundle comes out in the middle of the surge.
sleep $((seconds / 2))
rolled=$(publish 2 15) || fail "bundle 2 is not in force everywhere"
say "demo: bundle 2 in force on 12 daemons after ${rolled} s"

broken=0
wait "$load" || broken=1
load=""
calls=$(sassafras-standin control --url "http://$control" counts)

# --- The planned stop. ------------------------------------------------------

for pid in $daemons; do kill -TERM "$pid"; done
unclean=0
for pid in $daemons; do wait "$pid" || unclean=$((unclean + 1)); done
daemons=""

[ -s "$work/load.out" ] || fail "the load tool gave no counts"
sed '$d' "$work/load.out"
say "demo: platform $calls"
tail -n 1 "$work/load.out" | python -c '
import json
import sys

counts = json.load(sys.stdin)
counts["bundle_in_force_s"] = float(sys.argv[1])
counts["daemons_stopped_badly"] = int(sys.argv[2])
print(json.dumps(counts))
' "$rolled" "$unclean"
[ "$broken" = 0 ] || fail "an answer broke what must always hold"
[ "$unclean" = 0 ] || fail "$unclean daemons did not stop cleanly"
