// Package engine stands in for a model engine on one endpoint instance. The first member
// of a replica group takes requests; it answers only while it has a connection to each
// other member, as an engine whose model spans them would. Answers are a deterministic
// text of the prompt, so that a caller can check that an answer is whole and its own.
package engine
