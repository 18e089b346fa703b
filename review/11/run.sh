#!/bin/bash
# Two submissions within MaxBodyBytes at the same moment take a fresh process over its memory.
# Build first: the build command of the deploy file, then review/build-3.sh. TROUBLE=0: small items.
here="$(cd "$(dirname "$0")" && pwd)"
root="$here/../.."
[ -x "$root/target/rig3" ] && [ -x "$root/target/hornbeamtide" ] || { echo "build first"; exit 2; }
exec "$root/target/rig3" burst "$root/target/hornbeamtide" "$here/record.txt"
