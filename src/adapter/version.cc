#include "rattanward/adapter/version.h"

namespace rattanward::adapter {

int ProtocolVersion() { return 1; }

}  // namespace rattanward::adapter
