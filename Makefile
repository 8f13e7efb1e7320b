MODULES := core entry agent ctl standin measure platform
PROGRAMS := entry/cmd/goldcrest-entry agent/cmd/goldcrest-agent ctl/cmd/goldcrestctl standin/cmd/goldcrest-standin measure/cmd/goldcrest-measure platform/cmd/goldcrest-platform
SEED ?= 1
export CGO_ENABLED := 1

.PHONY: build demo test format vet lint generated unit crowd known-red soak fuzz

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do if [ -d $$p ]; then go build -o bin/$$(basename $$p) ./$$p || exit 1; fi; done

test: format vet lint generated unit crowd known-red

format:
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi

vet:
	@for m in $(MODULES); do (cd $$m && go vet ./...) || exit 1; done

# The module core pins staticcheck; the workspace makes every module's packages visible to it.
lint:
	@cd core && go tool staticcheck $(MODULES:%=goldcrestshore/%/...)

# Regenerates code and fails if the result differs.
generated:
	@sum() { cat core/connection/frame/*_gen.go core/version/*/*_gen.go entry/request/claim/*_gen.go | cksum; }; before=$$(sum); \
	for m in core entry; do (cd $$m && go generate ./...) || exit 1; done; \
	[ "$$before" = "$$(sum)" ] || { echo "generated code does not match its source"; exit 1; }

# Runs all tests but those that KNOWN-RED.txt lists as "Test: PACKAGE NAME", whose results are only
# printed in the end, and those of package crowd, which run without others beside them.
RED_TESTS = $(shell sed -n 's/^  Test: .* //p' KNOWN-RED.txt | paste -sd'|' -)
SKIP_RED = $(if $(RED_TESTS),-skip '$(RED_TESTS)')
unit:
	@for m in $(MODULES); do (cd $$m && go test $(SKIP_RED) $$(go list ./... | grep -v '/crowd$$')) || exit 1; done

# Lets crowds of connections misbehave at real processes, one crowd at a time.
crowd:
	@cd platform && go test -count=1 $(SKIP_RED) ./crowd

known-red:
	@sed -n 's/^  Test: //p' KNOWN-RED.txt | while read -r package name; do \
	echo "known red: $$package $$name"; (cd core && go test -run "$$name" "$$package") || true; done

# Runs the whole system on loopback and checks every response.
demo: build
	@SEED=$(SEED) scripts/demo.sh

# Sends checked requests through real processes that are killed, paused, disconnected
# and stopped gracefully, then runs fault schedules in virtual time.
measure-once: build
	@SEED=$(SEED) scripts/once.sh
	@bin/goldcrest-measure once -seed $(SEED)

# Runs entries as separate processes under injected faults, with SEEDS consecutive
# seeds from SEED.
SEEDS ?= 1
soak:
	@cd platform && SOAK_SEED=$(SEED) SOAK_SEEDS=$(SEEDS) go test -count=1 -timeout 60m -v ./soak

# Runs each fuzz target for TIME with PROCS processes. Its seeds are run by make test.
TIME ?= 60s
PROCS ?= 4
fuzz:
	@grep -rn '^func Fuzz' --include='*_test.go' $(MODULES) | sed -E 's|/[^/]*:[0-9]+:func (Fuzz[A-Za-z]*).*| \1|' | sort | \
	while read -r package name; do echo "$$package $$name"; \
	(cd core && go test -run '^$$' -fuzz "^$$name\$$" -fuzztime $(TIME) -fuzzminimizetime 10x -parallel $(PROCS) "goldcrestshore/$$package") || exit 1; done

# Measures the decision packages in virtual time; each run ends with a line "result …".
measure-%: build
	@bin/goldcrest-measure $* -seed $(SEED)

# Benchmarks the time and bytes of a log line.
measure-log:
	@cd core && go test -run '^$$' -bench Log ./process/event

# Measures real processes.
measure-readers: build
	@SEED=$(SEED) scripts/readers.sh

measure-config: build
	@SEED=$(SEED) scripts/config.sh

measure-control: build
	@SEED=$(SEED) scripts/control.sh
