# The front door: each target is one command of the project.
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: build fmt lint test race bench demo matrix measure capacity generate

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

matrix:
	$(GO) test -count=1 -run '^TestMatrix' -v ./internal/exerciser/...

measure: build
	./wasabibank measure -out build/measure

capacity: build
	./wasabibank capacity -out build/capacity
