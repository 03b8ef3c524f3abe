#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/; needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins)
for name in support platform; do
  g++ "${flags[@]}" -c "review/standins/$name.cpp" -o "target/review/$name.o"
done
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/support.o target/review/platform.o \
    -o "target/review/case-$number"
done
