# make test is the whole gate: the same command the README and .ci/run use.

TOOLS := $(CURDIR)/.tools
LINT_VERSION := v2.15.0
LINT := $(TOOLS)/golangci-lint-$(LINT_VERSION)
GOPLS_VERSION := v0.23.0
GOPLS := $(TOOLS)/gopls-$(GOPLS_VERSION)
RACE_TIMEOUT := 15m

export CGO_ENABLED = 1

.PHONY: test build format lint vet unit imports docs slopes bench tools

test: build lint vet imports docs-check unit

build:
	go build ./...

$(LINT):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

$(GOPLS):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(TOOLS)/gopls $(GOPLS)

# tools installs the linter and gopls, whose rename follows a name through all
# packages: $(GOPLS) rename -w FILE:LINE:COLUMN NAME.
tools: $(LINT) $(GOPLS)

format: $(LINT)
	$(LINT) fmt

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run

vet:
	go vet ./...

# imports keeps core free of clocks, sockets and io.
imports:
	bash _scripts/check-imports

.PHONY: docs-check
docs-check:
	bash _scripts/check-docs

unit:
	bash _scripts/run-tests $(RACE_TIMEOUT)

# docs writes the pages that are made from the code.
docs:
	go run ./cmd/kumquatlink docs --directory docs

# slopes prints what control costs a node at several sizes of the fleet.
slopes:
	go run ./cmd/kumquatlink slopes --output json
