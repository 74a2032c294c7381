#!/usr/bin/env bash
# Exits with 1 if a machine lost more requests than LOST allows, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")" && exec node play.mjs
