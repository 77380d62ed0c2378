#include "rattanward/adapter/daemon_flags.h"

DEFINE_string(settings, "", "path of the settings file (TOML)");
DEFINE_bool(check, false, "check the settings, print the outcome and exit");
