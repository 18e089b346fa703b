#!/bin/bash
# Texts with many characters that JSON escapes are listed as errored although replicas sent them whole.
# Build first: the build command of the deploy file, then review/build-3.sh. TROUBLE=0: without such characters.
here="$(cd "$(dirname "$0")" && pwd)"
root="$here/../.."
[ -x "$root/target/rig3" ] && [ -x "$root/target/hornbeamtide" ] || { echo "build first"; exit 2; }
exec "$root/target/rig3" errored "$root/target/hornbeamtide" "$here/record.txt"
