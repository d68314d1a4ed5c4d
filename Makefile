# The concurrent packages run under the race detector; the rest runs without it to stay fast.
RACE_PKGS = ./internal/platform/... ./internal/view/... ./internal/peer/... ./internal/gateway/... ./internal/upstream/... ./internal/host/... ./internal/standin/... ./internal/claims/... ./internal/load/... ./internal/config/...

.PHONY: test build fmt lint
test:
	go test -timeout 20m -count=1 ./...
	go test -timeout 20m -race $(RACE_PKGS)

build:
	go build -o bin/ ./cmd/...

fmt:
	gofmt -w cmd internal test

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go build -C tools -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	./bin/staticcheck ./...
