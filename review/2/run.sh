#!/usr/bin/env bash
# Exits with 1 if streams mix two software versions, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")" && exec node play.mjs
