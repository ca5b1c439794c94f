#!/bin/bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standins ] || [ ! -x target/release/mastknot-platform ]; then
    echo "build first: cargo build --release --package mastknot_platform; bash review/build.sh" >&2
    exit 2
fi
target/review/standins cancels review/1/record.txt &
standins=$!
# If the script is stopped, the processes that it started are ended as well.
trap 'pkill -KILL -P "$standins"; kill -KILL "$standins"; exit 2' TERM INT HUP
wait "$standins"
