// Package tierpb holds the messages between the processes of the serving tier. The generated code is
// committed; "go generate" needs protoc, protoc-gen-go and protoc-gen-go-vtproto on the path.
package tierpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-vtproto_out=. --go-vtproto_opt=paths=source_relative,features=marshal+unmarshal+size+clone+equal tier.proto
