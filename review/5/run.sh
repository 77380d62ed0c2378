#!/usr/bin/env bash
# The operator sends a configuration without tenants.
exec bash "$(dirname "$0")/../run-case.sh" 5 no-tenants
