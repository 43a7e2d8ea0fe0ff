#!/bin/sh
# What a hop adds: a caller, the daemon of a "front" VM as entrance, the daemon
# of a "back" VM, and its upstream, each a process on loopback. Prints the
# table of `sassafras-bench hop`; its options are passed on.
#
# Wants sassafras, sassafrasstaird, sassafras-standin, sassafras-bench and
# python on PATH. Ends only processes that it started, by id.
set -eu

here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=examples/lib.sh
. "$here/lib.sh"
work=$(mktemp -d "${TMPDIR:-/tmp}/sassafrasstair-hop.XXXXXX")
host=127.0.0.1
started=""

stop() {
    trap - EXIT INT TERM
    # shellcheck disable=SC2086
    end_processes $started
    rm -rf "$work"
}
stop_on_exit

pick_ports 10

next_port; platform=$host:$port
next_port; control=$host:$port
sassafras-standin platform --listen "$platform" --control "$control" \
    >"$work/platform.log" 2>&1 &
started="$started $!"
key=$(sassafras key new ops-1 --output "$work/ops-1.key")
sassafras bundle approve "$here/hop.bundle.json" --key "$work/ops-1.key" \
    --output "$work/envelope" 2>"$work/approve.log"

vms=""
operators=""
daemons=""
seeds=""
for service in front back; do
    next_port; upstream=$host:$port
    next_port; caller=$host:$port
    next_port; peer=$host:$port
    next_port; operator=$host:$port
    cat >"$work/$service.json" <<END
{
  "vm": "$service-1", "service": "$service", "failure_domain": "pos-a",
  "region": "tt-north",
  "callers": {"listen": "$caller"},
  "peers": {"listen": "$peer", "seeds": [$seeds]},
  "operators": {"listen": "$operator"},
  "upstream": {"url": "http://$upstream"},
  "platform": {"urls": ["http://$platform"]},
  "keys": [$key]
}
END
    seeds=\"$peer\"
    sassafras-standin upstream --listen "$upstream" --service "$service" \
        --slots 160 --service-ms "${HOP_SERVICE_MS:-2}" \
        --daemon "http://$caller" >"$work/$service.upstream.log" 2>&1 &
    started="$started $!"
    sassafrasstaird --settings "$work/$service.json" \
        >"$work/$service.log" 2>&1 &
    started="$started $!"
    daemons="$daemons --pid $!"
    operators="$operators $operator"
    vms="$vms${vms:+,}{\"vm\":\"$service-1\",\"service\":\"$service\",\
\"failure_domain\":\"pos-a\",\"region\":\"tt-north\",\
\"address\":\"$peer\",\"state\":\"live\"}"
    [ "$service" = front ] && entrance=$caller
    target=$upstream
done
printf '[%s]' "$vms" >"$work/vms.json"

tries=0
until sassafras-standin control --url "http://$control" \
    put sassafrasstair/vms "$work/vms.json" 2>/dev/null; do
    tries=$((tries + 1))
    [ $tries -lt 40 ] || { echo "hop: no platform" >&2; exit 1; }
    sleep 0.25
done
sassafras-standin control --url "http://$control" \
    put sassafrasstair/bundles/all "$work/envelope"
tries=0
# shellcheck disable=SC2086
until sassafras status --expect 1 $operators >/dev/null 2>&1; do
    tries=$((tries + 1))
    [ $tries -lt 60 ] || { echo "hop: no bundle" >&2; exit 1; }
    sleep 0.25
done

# shellcheck disable=SC2086
sassafras-bench hop --direct "http://$target/work" \
    --through "http://$entrance/v1/call/back/work" --class measured \
    $daemons "$@"
