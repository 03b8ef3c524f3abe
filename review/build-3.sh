#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3/.
# Needs the build of the deploy file, and only the packages that it names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete
  -Ipackages/standins/src -Ipackages/net/include -Ipackages/core/include
  -Ireview/common-3)
standins=(http_server process raw_caller raw_target store_standin target_standin)
objects=()
jobs=()
for it in "${standins[@]}"; do
  g++ "${flags[@]}" -c "packages/standins/src/$it.cpp" -o "$out/$it.o" &
  jobs+=($!)
  objects+=("$out/$it.o")
done
for it in "${jobs[@]}"; do wait "$it"; done
jobs=()
for source in review/1[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$name" \
    target/packages/net/libnutmegsill_net.a \
    target/packages/core/libnutmegsill_core.a -lcrypto -lxxhash -pthread &
  jobs+=($!)
done
for it in "${jobs[@]}"; do wait "$it"; done
