package journaler

//go:generate protoc --go_out=. --go_opt=paths=source_relative shard.proto
