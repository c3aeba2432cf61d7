#!/usr/bin/env bash
# Lists outdated identifiers in README.md and docs/: gone-names.sh REVISION.
# An identifier is outdated if it stands in backticks, occurs in the sources of the given revision, and occurs in no source
# now. The glossary is skipped, since it lists old names. Exits with 1 if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."
revision=$1
words() { grep -oE '[A-Za-z_][A-Za-z0-9_]*' | sort -u; }
sources=('*.go' '*.toml' '*.hcl' '*.proto' '.ci' 'scripts')
pages=$(git ls-files README.md 'docs/*.md' | grep -v '^docs/glossary.md$')
gone=$(comm -23 <(git grep -hI -e . "$revision" -- "${sources[@]}" | words) <(git grep -hI -e . -- "${sources[@]}" | words))
found=0
for page in $pages; do
    mentioned=$(comm -12 <(grep -oE '`[^`]+`' "$page" | words) <(echo "$gone") | paste -sd' ')
    if [ -n "$mentioned" ]; then
        echo "$page: $mentioned"
        found=1
    fi
done
exit "$found"
