#!/bin/sh
# The same surge over the same mesh in real processes, one after the other:
# plain forwarding with retries at each hop and no daemons, then the demo.
# Prints both results; takes about two minutes.
#
# Wants the console scripts and python on PATH. Ends only processes that it
# started, by id.
set -eu

here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=examples/lib.sh
. "$here/lib.sh"
work=$(mktemp -d "${TMPDIR:-/tmp}/sassafrasstair-surge.XXXXXX")
host=127.0.0.1
domains="pos-a pos-b arima"
started=""

stop() {
    trap - EXIT INT TERM
    # shellcheck disable=SC2086
    end_processes $started
    rm -rf "$work"
}
stop_on_exit

pick_ports 12

# The slots and times of demo.sh; $3 names what the service calls.
start_service() {
    service=$1
    shift
    for domain in $domains; do
        next_port
        # shellcheck disable=SC2086
        sassafras-standin upstream --listen "$host:$port" \
            --service "$service" "$@" >"$work/$service-$domain.log" 2>&1 &
        started="$started $!"
        direct="$direct --direct $service=http://$host:$port"
        upstreams="$upstreams --upstream http://$host:$port"
    done
}

direct=""
upstreams=""
start_service ledger --slots 20 --service-ms 400
# shellcheck disable=SC2086
start_service poster --slots 160 --service-ms 20 --calls ledger $direct
# shellcheck disable=SC2086
start_service intake --slots 160 --service-ms 30 --calls poster $direct
# shellcheck disable=SC2086
start_service pricer --slots 160 --service-ms 10 --calls ledger $direct
sleep 3

# shellcheck disable=SC2086
sassafras-standin load $direct $upstreams \
    --bundle "$here/trust.bundle.json" --seconds "${DEMO_SECONDS:-24}" \
    --rate "${DEMO_RATE:-50}" --surge-factor "${DEMO_SURGE:-6}" \
    --mix valuation-lookup=6 --mix write-down=2 --mix stock-upload=1 \
    --mix accountant-report=3 --body stock-upload=200000 \
    --hasty 0.3 --tail 5 >"$work/none.out" 2>/dev/null || true
[ -s "$work/none.out" ] || { echo "surge: no counts" >&2; exit 1; }
# shellcheck disable=SC2086
end_processes $started
started=""

chosen=0
sh "$here/demo.sh" >"$work/chosen.out" 2>"$work/chosen.err" || chosen=$?
[ "$chosen" = 0 ] || tail -n 3 "$work/chosen.err" >&2
echo "plain forwarding, retries at each hop:"
grep -v '^t=' "$work/none.out"
echo "sassafrasstair:"
grep -v '^t=' "$work/chosen.out"
exit "$chosen"
