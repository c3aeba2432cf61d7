#!/usr/bin/env bash
# Makes a copy of a deployment that has so many machines with a disk: with-disks.sh SITE DISKS FOLDER. It prints the copy's path.
set -euo pipefail
site=$1 disks=$2 folder=$3
name=$(basename "$site" .toml)-$disks-disks
mkdir -p "$folder"
cp "$(dirname "$site")"/wire.json "$folder"/
lines=$(grep -c 'class = .*disk = ' "$site")
awk -v disks="$disks" -v lines="$lines" -v name="$name" '
    /^name = / { print "name = \"" name "\""; next }
    /class = .*disk = / {
        count = int(disks / lines) + (at < disks % lines ? 1 : 0)
        sub(/count = [0-9]+/, "count = " count)
        at++
    }
    { print }
' "$site" > "$folder/$name.toml"
if [ -f "${site%.toml}.days" ]; then cp "${site%.toml}.days" "$folder/$name.days"; fi
echo "$folder/$name.toml"
