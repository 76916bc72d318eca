# Targets for developers and CI. "make test" runs all that CI runs.
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
export GOFLAGS = -buildvcs=false

.PHONY: build generate fmt lint vet unit fuzz bounds known-red test bench capacity demo

build:
	$(GO) build -o bin/ ./cmd/... ./internal/standin/cmd/...

generate:
	$(TOOL) buf generate

fmt:
	gofmt -l -w .

fmt-check:
	@out=$$(gofmt -l .); test -z "$$out" || { echo "not formatted: $$out"; exit 1; }

lint:
	$(TOOL) staticcheck ./...
	$(TOOL) depguard ./...
	@scripts/lint-pure.sh
	@scripts/lint-names.sh
	@scripts/lint-responses.sh

vet:
	$(GO) vet ./...

unit:
	scripts/unit.sh

fuzz:
	scripts/fuzz.sh

bounds:
	scripts/bounds.sh

known-red:
	scripts/known-red.sh

test: fmt-check lint vet build unit fuzz bounds known-red

bench:
	scripts/bench.sh

capacity:
	scripts/capacity.sh

demo: build
	scripts/demo.sh
