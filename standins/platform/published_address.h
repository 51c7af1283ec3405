#pragma once

namespace agatevane::standin {

//! IP address of published addresses that differ for each node: a node with a port of the store of its own sees the IP
//! address that belongs to the port in place of this one.
constexpr const char* publishedWorkersAddress = "127.0.1.100";

} // namespace agatevane::standin
