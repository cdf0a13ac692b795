#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/. Run it after
# the build line of deploy/system.toml; it needs cc, pkg-config and GLib, which
# that build needs too. The suffixes .c11 and .h11 (C, as of 2011) keep the
# sources out of the project's lint, whose rules are for the product.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-unused-parameter -pthread"
for source in review/[1-5]/case.c11; do
	[ -e "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2046,SC2086
	cc $flags $(pkg-config --cflags glib-2.0) -o "target/review/case-$number" \
	    -x c "$source" review/world.c11 review/orders.c11 \
	    fakes/fake_store.c fakes/raw_http.c \
	    -x none $(pkg-config --libs glib-2.0)
done
