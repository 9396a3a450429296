// Package engine is a stand-in for the model engine of one endpoint. The first member of a
// replica group accepts requests. It answers only while it is connected to every other
// member, like an engine whose model is divided over all members. The text of an answer is
// a function of the prompt and the adapter, so that a caller can check that an answer is
// complete and belongs to its own request.
package engine
