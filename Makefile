GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools

.PHONY: build run test lint tools

build:
	go build -o bin/ ./cmd/... ./tools/...

run: build
	bin/runner $(RUN_FLAGS)

test:
	go test -race -count=1 -timeout 20m ./...

tools:
	test -x $(TOOLS)/golangci-lint || GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: tools
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	$(TOOLS)/golangci-lint run ./...
