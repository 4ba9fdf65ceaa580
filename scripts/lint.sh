#!/usr/bin/env bash
# Checks the format of every source file and header, or of the files named as
# arguments, and runs clang-tidy on those of them that end in .cpp. clang-tidy skips
# a file if its path, text and preprocessed text and .clang-tidy are the same as in
# an earlier run without findings: the hash of these is kept in the user's cache
# directory. The hash covers neither the flags in the compilation database nor the
# version of clang-tidy.
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
