GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools

FUZZTIME := 30s

.PHONY: build run test fuzz lint tools

build:
	go build -o bin/ ./cmd/... ./tools/...

run: build
	bin/runner $(RUN_FLAGS)

# SKIP is a pattern of tests that are left out, as .ci/run does for KNOWN-RED.txt. The tests that
# bound the memory of a host run alone.
MEMORY_TESTS := TestCrowds|TestEndlessServers

test:
	go test -race -count=1 -timeout 20m -skip "$(MEMORY_TESTS)$${SKIP:+|$$SKIP}" ./...
	go test -count=1 -timeout 10m $${SKIP:+-skip "$$SKIP"} -run "$(MEMORY_TESTS)" ./platform/soaker

# fuzz runs each fuzz target for FUZZTIME.
fuzz:
	git grep -l '^func Fuzz' -- '*_test.go' | xargs -n1 dirname | sort -u | while read -r dir; do \
		for fuz in $$(grep -ho '^func Fuzz[A-Za-z]*' $$dir/*_test.go | cut -d' ' -f2); do \
			go test ./$$dir -run '^$$' -fuzz "^$$fuz$$" -fuzztime $(FUZZTIME) || exit 1; \
		done; \
	done

tools:
	test -x $(TOOLS)/golangci-lint || GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: tools
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	$(TOOLS)/golangci-lint run ./...
