# Commands for building, testing and demonstrating the project.
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: build fmt lint test bench demo trial generate soak

# Builds the binary ./wasabibank.
build:
	$(GO) build -o wasabibank .

# Formats all Go files in place.
fmt:
	gofmt -l -w $$(git ls-files '*.go')

# Runs the formatter's check, vet and the linters.
lint:
	./.ci/lint

# Runs the linters and all tests with the race detector, as CI does.
test:
	./.ci/test

# Regenerates the protobuf and twirp code; needs protoc.
generate:
	./.ci/generate

# Runs all benchmarks, without tests.
bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...

# Runs the whole system on loopback, kills an instance and a server, and checks every outcome.
demo: build
	./scripts/demo.sh

# Runs the soak test with the regression seeds and then SEEDS consecutive seeds from FIRST on.
SEEDS ?= 50
FIRST ?= 1
soak:
	$(GO) test -count=1 -parallel 4 -timeout 60m -run TestSoak ./internal/verifier -soak.seeds $(SEEDS) -soak.first $(FIRST)

# Runs the commands of the operators' pages and prints their outputs.
trial: build
	./scripts/trial.sh
