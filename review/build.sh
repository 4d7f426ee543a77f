#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin. It comes after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for file in $(grep -l '^package main' review/_standins/*/main.go); do
	folder=$(dirname "$file")
	go build -o "review/bin/$(basename "$folder")" "./$folder"
done
