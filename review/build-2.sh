#!/usr/bin/env bash
# Builds the programs of the scripts in review/6 to review/10, and the stand-ins
# that they start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Wno-mismatched-new-delete
  -Ireview/standins-2 -Ipackages/standins/src -Ipackages/net/include
  -Ipackages/core/include)
cases=()
for n in 6 7 8 9 10; do
  [ ! -f "review/$n/case.cpp" ] || cases+=("$n")
done
common=(packages/standins/src/http_server.cpp
  packages/standins/src/store_standin.cpp packages/standins/src/process.cpp
  packages/net/src/base64.cpp packages/net/src/http_client.cpp)
objects=()
for it in "${common[@]}"; do
  object=$out/$(basename "$it" .cpp).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$it" -o "$object" &
done
for n in "${cases[@]}"; do
  g++ "${flags[@]}" -c "review/$n/case.cpp" -o "$out/case-$n.o" &
done
for job in $(jobs -p); do
  wait "$job"
done
for n in "${cases[@]}"; do
  g++ -pthread "$out/case-$n.o" "${objects[@]}" -lcrypto -o "$out/case-$n"
done
