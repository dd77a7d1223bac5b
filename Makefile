MODULES := pkg platform gateway controller bronzectl standin bench proof
PROGRAMS := gateway controller bronzectl standin bench

.PHONY: build run test lint generate

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do (cd $$p && go build -o ../bin/$$p .) || exit 1; done

run: build
	@scripts/local.sh

test:
	@scripts/test.sh $(MODULES)

lint:
	@scripts/lint.sh

generate:
	@scripts/generate.sh
