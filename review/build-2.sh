#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, after the build of deploy/system.toml, into
# target/review-2/. They use the project's own HTTP and loop, out of the libraries of that build.
set -eu
cd "$(dirname "$0")/.."
libraries="${REVIEW_LIBRARIES:-target}"
out="target/review-2"
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Wpedantic -DBOOST_LOG_DYN_LINK -DBOOST_ALL_DYN_LINK
  -Isrc -I. -Itest -Ireview/standins-2 -isystem src/Generated $(pkg-config --cflags libevent libzmq)"
objects=""
pids=""
for source in review/standins-2/*.cpp test/support/ChildProcess.cpp test/support/SettingsTemplate.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  objects="$objects $object"
  # shellcheck disable=SC2086
  g++ $flags -c "$source" -o "$object" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
# shellcheck disable=SC2046,SC2086
g++ -o "$out/review-site" $objects "$libraries/librobinrun_platform.a" "$libraries/librobinrun.a" \
  "$libraries/librobinrun_proto.a" $(pkg-config --libs libevent libzmq protobuf yaml-cpp libcrypto libxxhash libzstd) \
  -lboost_log -lboost_thread -lboost_filesystem -lboost_system -lpthread
