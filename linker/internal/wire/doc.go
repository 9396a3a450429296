// Package wire contains the protobuf frames that instances exchange, generated from
// wire.proto with the command
// protoc --go_out=. --go_opt=paths=source_relative wire.proto
package wire
