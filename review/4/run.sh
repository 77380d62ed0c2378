#!/usr/bin/env bash
# A late heartbeat of a runner that has left, after a restart of all processes.
exec bash "$(dirname "$0")/../run-case.sh" 4 late-heartbeat
