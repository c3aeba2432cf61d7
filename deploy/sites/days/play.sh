#!/usr/bin/env bash
# Plays each day of this folder at a deployment, with several seeds: play.sh BENCH SITE SEEDS [JOBS]. Prints a line for each
# play and fails if one broke a rule. The journal has the entries.
set -u
bench=$1 site=$2 seeds=$3 jobs=${4:-4}
folder=$(cd "$(dirname "$0")" && pwd)
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
one() {
    local site day name status=held
    site=$(basename "$2" .toml) day=$(basename "$4" .toml)
    name=$3/$site-$day-$5
    "$1" run "$2" "$4" --seed "$5" --jobs 1 --why "Day of our own at a seed, see docs/control.md" > "$name" 2>&1 || status="FAILED $(head -3 "$name" | tail -1)"
    if grep -q 'BROKEN:' "$name"; then status=$(grep -m1 -o 'BROKEN:.*' "$name"); fi
    echo "$site $day seed $5: $status"
}
export -f one
for day in "$folder"/*.toml; do
    for seed in $(seq 1 "$seeds"); do printf '%s\0%s\0%s\0%s\0%s\0' "$bench" "$site" "$out" "$day" "$seed"; done
done | xargs -0 -n 5 -P "$jobs" bash -c 'one "$@"' _ | tee "$out/lines"
! grep -qv ': held$' "$out/lines"
