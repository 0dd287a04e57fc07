#!/usr/bin/env bash
# Builds the stand-ins of review/11 and on into target/review-3, after the build of the deploy file. Needs its
# packages only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
json=/usr/include/jsoncpp
includes=(-I. -I"$json")
flags=(-std=c++20 -O1 -pthread -DBOOST_ASIO_DISABLE_BOOST_ARRAY -DBOOST_ASIO_NO_DEPRECATED)
libraries=(target/libPlatformAdapter.a target/libEntry.a target/libAgent.a target/libOperator.a target/libCaller.a
  target/libEngine.a target/libService.a target/libWeightStore.a target/libObjectStore.a target/libBase.a
  -lprometheus-cpp-core -llog4cxx -lapr-1 -laprutil-1 -ljsoncpp -ljsonrpccpp-common -ljsonrpccpp-client
  -ljsonrpccpp-server -lxxhash -lyaml-cpp -lssl -lcrypto)
sources=(StandIns/Common/*.cpp StandIns/Site/SiteStore.cpp StandIns/Site/SiteEngine.cpp
  StandIns/Site/SiteConfiguration.cpp)
objects=()
pids=()
for source in "${sources[@]}" review/standins-3/*.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  [[ $source == StandIns/* ]] && objects+=("$object")
  g++ "${flags[@]}" "${includes[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for source in review/standins-3/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -pthread -o "$out/$name" "$out/$name.o" "${objects[@]}" -Wl,--start-group "${libraries[@]}" -Wl,--end-group
done
