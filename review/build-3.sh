#!/bin/bash
# Builds the programs that the scripts of this review start, into target/.
set -e
cd "$(dirname "$0")/.."
{ echo "go 1.26.0"; echo "use ."; sed -n 's#^[[:space:]]*\./\(.*\)#use ../../\1#p' go.work; } > review/rig3/go.work
cp go.work.sum review/rig3/
go -C review/rig3 build -o ../../target/rig3 .
