GO ?= go
# A pattern of tests that are passed over: those that KNOWN-RED.txt lists, or the environment's.
export SKIP ?= $(shell bash .ci/known-red --skip)
TEST = $(GO) test -skip "$${SKIP:+$$SKIP|}$(CROWD)"
# Tests of crowds of clients measure processes, so they run one at a time and apart from the others.
CROWD = ^TestCrowd
RAPID ?= -rapid.seed=7 -rapid.checks=2000

.PHONY: build run test race lint bench fleet

build:
	$(GO) build -o bin/wagtaillift .

run: build
	bin/wagtaillift serve --demo

test:
	@bash .ci/known-red
	$(TEST) ./...
	$(GO) test $${SKIP:+-skip "$$SKIP"} -run '$(CROWD)' -count 1 -timeout 30m ./platform

race:
	$(TEST) -race ./internal/... ./platform

lint:
	@test -z "$$($(GO) tool gofumpt -l main.go cmd internal platform)" || { $(GO) tool gofumpt -l main.go cmd internal platform; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench: build
	bash scripts/bench.sh

fleet: build
	bash scripts/fleet.sh
