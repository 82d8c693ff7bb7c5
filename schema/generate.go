// Package schema holds the sources of the generated code.
package schema

//go:generate flatc --go -o ../crew crew.fbs
//go:generate protoc --go_out=.. --go_opt=module=shaletrestle setup.proto
