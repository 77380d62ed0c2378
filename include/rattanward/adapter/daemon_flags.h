#pragma once

#include <gflags/gflags.h>

/// Flags that every daemon has.
DECLARE_string(settings);
DECLARE_bool(check);
