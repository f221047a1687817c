# Targets for developers and CI; the build itself is in CMakeLists.txt.
JOBS ?= $(shell nproc)

.PHONY: all deps build test lint format demo bench soak chaos mesh-soak recovery \
	request-soak router-cost rollout clean

all: build

deps:
	sh tools/install-deps.sh

build: deps
	cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >build-cmake.log
	cmake --build build -j $(JOBS)

test: deps
	cmake -S . -B build-test -DCMAKE_BUILD_TYPE=Debug -DJD_SANITIZE=ON >build-cmake.log
	cmake --build build-test -j $(JOBS)
	ctest --test-dir build-test --output-on-failure -j $(JOBS)

lint: deps
	sh tools/lint.sh

format:
	clang-format -i $$(git ls-files '*.c' '*.h' '*.cpp')

soak: build
	build/bench-soak --seed $(or $(SEED),1) --steps $(or $(STEPS),1000000)

# Programs whose last lines are "bench: name=... ours=... baseline=...".
BENCHES = tail even
bench: build
	set -e; for b in $(BENCHES); do build/bench-$$b; done

demo: build
	bash demo/demo.sh build

# Real processes under random faults: make chaos SEED=n DURATION_S=n
SEED ?= 1
DURATION_S ?= 60
chaos: build
	build/chaos --bin build --manifest examples/chaos.toml \
		--seed $(SEED) --duration-s $(DURATION_S)

# A leased fleet under random faults: make mesh-soak SEED=1 DURATION_S=30 NODES_SOAK=6
NODES_SOAK ?= 6
mesh-soak: build
	build/mesh_soak --bin build --seed $(SEED) --duration-s $(DURATION_S) \
		--nodes $(NODES_SOAK)

# Time until every key is served again after each kind of loss.
recovery: build
	build/recovery --bin build --manifest examples/chaos.toml

# Randomised runs of the request core: make request-soak SEED=1 STEPS=50
request-soak: build
	build/bench-request_soak $(SEED) $(or $(STEPS),50)

# What the router adds to the cost of a direct call to the upstream.
router-cost: build
	build/bench-router_cost --bin build --manifest examples/chaos.toml

# Time from apply until a manifest is in force on every node.
rollout: build
	bash bench/rollout.sh build $(or $(NODES),24) $(or $(APPLIES),10)

clean:
	rm -rf build build-test build-cmake.log
