#!/bin/sh
# Builds the stand-ins of the second review's scripts. Run in the repository's
# root, after the build of the deploy file.
set -eu
mkdir -p target/review-2
for case in review/*/case-2.c11; do
	name=$(basename "$(dirname "$case")")
	cc -std=c11 -O1 -Wall -Wextra -pthread -Ireview -x c \
		-o "target/review-2/$name" "$case"
done
