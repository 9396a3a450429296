// Package linker keeps the sessions between instances: membership, messages and forwarded requests.
//
// A session is one TCP connection with mutual TLS that carries yamux streams: one control
// stream for heartbeats and small messages, one bulk stream in each direction for bundles,
// and one stream for each forwarded request. Frames are protobuf messages with a length prefix.
// SetPeers supplies the other instances from the platform's list. The package does not
// discover instances.
//
// The outcome of a forwarded request is reliable if a session fails. Frames are numbered,
// and an answer is complete only with its end mark. The outcome is NotRun only if the end
// mark of the request was never written or the peer reported NotRun.
package linker
