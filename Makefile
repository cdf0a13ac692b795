# Both targets set up everything they need; neither needs the other first.
.PHONY: all check demo lint packages bench

all: packages build/build.ninja
	ninja -C build

packages:
	./scripts/install-packages

build/build.ninja:
	meson setup build

check: packages
	./scripts/test

lint: packages build/build.ninja
	./scripts/lint build

demo: all
	./scripts/demo build

bench: packages build/build.ninja
	./scripts/bench build
	./scripts/bench-peers
