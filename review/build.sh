#!/bin/sh
# The stand-ins of the review are Python scripts that use the standard library alone: there is nothing to
# build. The service itself is built as deploy/service.toml says.
command -v python3 >/dev/null || { echo "python3 (3.11 or later) is missing" >&2; exit 2; }
