#!/usr/bin/env bash
# Compares the committed protobuf code with what protoc makes of the .proto files.
# The generated files name the version of protoc, so only that line may differ.
set -euo pipefail
cd "$(dirname "$0")/.."

if ! command -v protoc >/dev/null 2>&1; then
  if [ "$(id -u)" != 0 ] || ! command -v apt-get >/dev/null 2>&1; then
    echo "protoc is missing and cannot be installed here: install protobuf-compiler" >&2
    exit 1
  fi
  apt-get update -qq >/dev/null
  apt-get install -y -qq protobuf-compiler >/dev/null
fi

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
(cd tools && GOBIN="$out" go install google.golang.org/protobuf/cmd/protoc-gen-go)
PATH="$out:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative internal/wirepb/*.proto

status=0
for fresh in "$out"/internal/wirepb/*.pb.go; do
  kept="internal/wirepb/$(basename "$fresh")"
  diff -u -I 'protoc  *v' "$kept" "$fresh" || status=1
done
for kept in internal/wirepb/*.pb.go; do
  [ -e "$out/$kept" ] || { echo "$kept has no .proto file" >&2; status=1; }
done
[ "$status" = 0 ] && echo "generated code is up to date"
exit "$status"
