#!/usr/bin/env bash
# The room of workers shrinks while the store is down, then all processes are killed: the old room is used.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
# The record of the play is written to record.txt in this folder.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review-3/standins-3 ] && [ -x target/release/mastknot-platform ] || exit 2
exec timeout 110 target/review-3/standins-3 shrunk review/13
