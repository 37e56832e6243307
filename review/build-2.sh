#!/bin/sh
# Builds the stand-ins and callers of the second review's cases into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/6/split ./review/7/keys ./review/8/signals ./review/9/crash ./review/10/prefix
