#!/bin/sh
# Builds the programs of the cases of the third review, which hold all their stand-ins, into
# target/review/.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review || exit 2
for folder in review/1[1-5]; do
	go build -o "target/review/case${folder#review/}" "./$folder" || exit 1
done
