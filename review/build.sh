#!/bin/sh
# Builds the stand-ins and drivers of the review cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[0-9]*; do
  go build -o "review/bin/case-${case##*/}" "./$case"
done
