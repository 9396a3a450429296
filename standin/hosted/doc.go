// Package hosted is a stand-in for the users' platform: its key-value store, its model
// engines, the endpoints of its plain services and its operator's configuration. It uses the
// platform's HTTP interfaces and document formats. Its times are short: an engine loads
// weights in tens of milliseconds. Engines crash, slow down, lose answers, break streams off or
// are silent for a while on request. Tests run real instances against it.
package hosted
