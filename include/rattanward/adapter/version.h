#pragma once

namespace rattanward::adapter {

/// @brief Version of the protocol between the system's own processes.
int ProtocolVersion();

}  // namespace rattanward::adapter
