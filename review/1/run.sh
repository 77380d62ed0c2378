#!/usr/bin/env bash
# An entry gets SIGTERM while requests that it has read wait in its queue.
exec bash "$(dirname "$0")/../run-case.sh" 1 shutdown-queue
