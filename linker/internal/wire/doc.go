// Package wire has the protobuf frames between instances, generated from wire.proto with
// protoc --go_out=. --go_opt=paths=source_relative wire.proto
package wire
