#!/usr/bin/env bash
# Installs the Debian packages that the build, the linters and the tests need.
set -euo pipefail
PACKAGES=(g++ cmake ninja-build ccache clang-format clang-tidy curl python3
  libboost-dev libboost-program-options-dev libboost-system-dev
  libwebsocketpp-dev prometheus-cpp-dev liblog4cplus-dev catch2
  nlohmann-json3-dev libtomlplusplus-dev librapidcheck-dev libssl-dev
  pkg-config)
MISSING=()
for PACKAGE in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$PACKAGE" 2>/dev/null |
    grep -q 'ok installed' || MISSING+=("$PACKAGE")
done
if [ "${#MISSING[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${MISSING[@]}"
fi
