#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs only g++ and
# nlohmann-json3-dev, which the deploy file names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in worker cases; do
  g++ -std=c++20 -O1 -pthread -o "target/review/$program" "review/standins/$program.cpp"
done
