#!/usr/bin/env bash
# Runs all tests of cmd/gullstair next to CPU-bound processes: beside-load.sh [TIMES] [PROCESSES].
# Prints one line per run, and the output of a failed run. Exits with 1 if any run failed.
set -euo pipefail
cd "$(dirname "$0")/../cmd/gullstair"
times=${1:-5} processes=${2:-24}
dir=$(mktemp -d)
busy=()
end() {
    for pid in "${busy[@]}"; do kill "$pid"; done
    rm -rf "$dir"
}
trap end EXIT
go test -c -o "$dir/gullstair.test" .
for _ in $(seq "$processes"); do
    while :; do :; done &
    busy+=($!)
done
failed=0
for time in $(seq "$times"); do
    begun=$(date +%s)
    if "$dir/gullstair.test" -test.timeout 30m > "$dir/log" 2>&1; then
        echo "time $time: passed in $(($(date +%s) - begun)) s beside $processes busy processes"
    else
        failed=1
        cat "$dir/log"
        echo "time $time: FAILED"
    fi
done
exit "$failed"
