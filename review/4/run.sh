#!/usr/bin/env bash
# Runs the case on loopback; exits with 1 if the rule was broken, 0 if it held,
# 2 if it couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of
# deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 118 target/review/cases wave review/4/record.txt target/review
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
