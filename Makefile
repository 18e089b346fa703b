# Build, tests, demos and measurements. Needs only Go and make.

MODULES := fault event connlimit httpclient measure objectapi clock catalog upstream document platform backend peer fleet routing admission claims dispatch rollout weights mirror gossip quarantine ratelimit relay roster placement organisation lease usage duty gateway batch waves edge trace alarm daemon cmd/hornbeamtide standin
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))

.PHONY: build test race check format vet lint demo bench slopes generate

build:
	go build -o bin/ ./cmd/hornbeamtide ./standin/cmd/standin

test:
	./scripts/test.sh $(PACKAGES)

race:
	go test -race -count=3 $(PACKAGES)

check: format vet lint test

format:
	@files=$$(find $(MODULES) tools -name '*.go' ! -name '*.pb.go' | xargs go tool gofumpt -l); \
	if [ -n "$$files" ]; then echo "not formatted (run go tool gofumpt -w):"; echo "$$files"; exit 1; fi

vet:
	go vet $(PACKAGES)

lint:
	go tool staticcheck $(PACKAGES)

# gopls, for renaming identifiers: bin/gopls rename -w FILE:LINE:COLUMN NAME
bin/gopls: tools/gopls/go.mod
	cd tools/gopls && GOWORK=off go build -o ../../bin/gopls golang.org/x/tools/gopls

demo: build
	./bin/standin demo
	./bin/standin edge-demo

bench: build
	./bin/standin bench

slopes: build
	./bin/standin slopes

generate: bin/buf
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	./bin/buf generate

# buf compiles the .proto files for "make generate"
bin/buf: tools/buf/go.mod
	cd tools/buf && GOWORK=off go build -o ../../bin/buf github.com/bufbuild/buf/cmd/buf
