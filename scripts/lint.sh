#!/usr/bin/env bash
# Checks formatting and runs clang-tidy on every source file, or on the files
# named as arguments. clang-tidy skips a file whose inputs did not change since its
# last clean run: the hash of its text, its preprocessed text and .clang-tidy is
# kept in the user's cache directory.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
if [ "$#" -gt 0 ]; then
  FILES=("$@")
else
  mapfile -t FILES < <(git ls-files --cached --others --exclude-standard \
    'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'tests/*.cpp' 'tests/*.h' 'standin/*.cpp' 'standin/*.h')
fi
clang-format --dry-run --Werror "${FILES[@]}"
export LINT_CACHE="${XDG_CACHE_HOME:-$HOME/.cache}/chivelanding-lint"
export BUILD_DIR
mkdir -p "$LINT_CACHE"

lint_file() {
  local FILE=$1 KEY
  KEY=$({ cat .clang-tidy; echo "$FILE"
    g++ -std=c++17 -E -P -Isrc -Iplatform -DCHIVELANDING_SOURCE_DIR='""' "$FILE" 2>/dev/null
    cat "$FILE"; } | sha256sum | cut -d' ' -f1)
  [ -e "$LINT_CACHE/$KEY" ] && return 0
  clang-tidy --quiet -p "$BUILD_DIR" "$FILE" 2>/dev/null || {
    echo "clang-tidy failed on $FILE"
    return 1
  }
  touch "$LINT_CACHE/$KEY"
}
export -f lint_file
printf '%s\n' "${FILES[@]}" | grep '\.cpp$' |
  xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'lint_file {}'
