#!/usr/bin/env bash
# Guards against LOST: requests without an answer around SIGTERM, SIGHUP and both.
cd "$(dirname "$0")/../.." || exit 1
JOBS=3 LOGS=${LOGS:-$(mktemp -d /tmp/planned-work-XXXXXX)} exec bash scripts/lost 19 25 29
