#!/usr/bin/env bash
# Installs the compilers, libraries and tools for the build, the tests and the demonstration.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev
  libboost1.81-dev libboost-test1.81-dev libjsonrpccpp-dev libjsoncpp-dev prometheus-cpp-dev
  liblog4cxx-dev libcxxopts-dev libexpected-dev libssl-dev libxxhash-dev libbenchmark-dev libyaml-cpp-dev
  curl openssl python3)
if dpkg-query -W -f '${Status}\n' "${packages[@]}" 2>/dev/null | grep -vq 'install ok installed' ||
  ! dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
fi
