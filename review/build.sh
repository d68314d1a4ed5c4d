#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. It needs no network: they use the standard library only. The program
# under test is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off go build -o ../bin/ ./form ./midevent ./holders ./leaving ./twoholders
