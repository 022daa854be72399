#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="$(pkg-config --cflags libevent) -std=c++20 -O1 -Wall -Wextra -DBOOST_LOG_DYN_LINK -DBOOST_ALL_DYN_LINK"
libraries="target/librobinrun_platform.a target/librobinrun.a target/librobinrun_proto.a -lboost_log -lboost_thread
  -lboost_filesystem -lboost_system -lyaml-cpp -lcrypto $(pkg-config --libs libevent libzmq libxxhash libzstd protobuf)"
common="review/standins/*.cpp test/support/ChildProcess.cpp"
for source in review/[0-9]*/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  # shellcheck disable=SC2086
  g++ $flags -I test -I src -I src/Generated -I . "$source" $common -o "target/review/case-$number" $libraries
done
