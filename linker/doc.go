// Package linker keeps the sessions between instances: membership, messages and forwarded requests.
//
// A session is one TCP connection under mutual TLS that carries yamux streams: one control
// stream for heartbeats and small messages, one bulk stream each way for bundles, and one
// stream for each forwarded request. Frames are protobuf messages with a length prefix.
// Which instances there are comes from the platform's list through SetPeers; linker
// discovers none by itself.
//
// A forwarded request keeps its promises over the link. The answer is whole only with its
// end mark, frames are numbered, and a request is NotRun only if its own end mark was
// never written or the peer said so.
package linker
