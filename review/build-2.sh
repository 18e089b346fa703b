#!/bin/bash
# Builds what the scripts of the second review start beside the daemon: the rig, which holds the project's
# stand-in for the platform's store, and stand-ins for replicas, requesters and trainers. It needs no network
# once the modules of the project are in the cache.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go -C review/rig-2 build -o "$PWD/target/review/rig-2" .
