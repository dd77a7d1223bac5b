MODULES := pkg platform gateway controller bronzectl standin bench proof
PROGRAMS := gateway controller bronzectl standin bench

.PHONY: build run test lint generate

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do (cd $$p && go build -o ../bin/$$p .) || exit 1; done

run: build
	@scripts/local.sh

test:
	@for m in $(MODULES); do (cd $$m && go test -race -parallel 3 ./...) || exit 1; done

lint:
	@scripts/lint.sh

generate:
	@scripts/generate.sh
