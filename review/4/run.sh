#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.."
exec target/review/rig drain review/4
