# Commands for building, testing and demonstrating the project.
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: build fmt lint test bench demo trial generate soak

build:
	$(GO) build -o wasabibank .

fmt:
	gofmt -l -w $$(git ls-files '*.go')

lint:
	./.ci/lint

test:
	./.ci/test

generate:
	./.ci/generate

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...

demo: build
	./scripts/demo.sh

# Runs the soak test with SEEDS consecutive seeds, beginning with FIRST; see DEVELOPERS.md.
SEEDS ?= 50
FIRST ?= 1
soak:
	$(GO) test -count=1 -parallel 4 -timeout 60m -run TestSoak ./internal/verifier -soak.seeds $(SEEDS) -soak.first $(FIRST)

trial: build
	./scripts/trial.sh
