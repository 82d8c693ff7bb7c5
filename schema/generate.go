// Package schema holds the sources of the generated code.
package schema

//go:generate flatc --go -o ../coord/rpc rpc.fbs
//go:generate flatc --go --gen-object-api -o ../coord/replication replication.fbs
//go:generate protoc --go_out=.. --go_opt=module=shaletrestle config.proto distribution.proto state.proto
//go:generate gofmt -w ../coord/rpc/rpcfb ../coord/replication/replicationfb ../internal/config/configpb ../coord/distribution/distributionpb ../internal/state/statepb
