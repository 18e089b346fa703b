#!/bin/bash
# Steps whose reward calls have the largest size of the site file are refused with 400.
# Build first: the build command of the deploy file, then review/build-3.sh. TROUBLE=0: reward calls of the mean size.
here="$(cd "$(dirname "$0")" && pwd)"
root="$here/../.."
[ -x "$root/target/rig3" ] && [ -x "$root/target/hornbeamtide" ] || { echo "build first"; exit 2; }
exec "$root/target/rig3" denied "$root/target/hornbeamtide" "$here/record.txt"
