.PHONY: build test demo

# net is built with cgo so that the program is linked to the C library.
build:
	CGO_ENABLED=1 go build -o bin/pollenlatch ./cmd/pollenlatch

test:
	CGO_ENABLED=1 go test -race -timeout 20m ./...

demo: build
	bin/pollenlatch demo
