#!/bin/sh
# Builds what the scripts of the cases 4 to 6 start beside the project's programs, which the deploy file's build makes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in 4 5 6; do
  if [ -f "review/$case/main.go" ]; then
    go build -o "review/bin/case-$case" "./review/$case"
  fi
done
