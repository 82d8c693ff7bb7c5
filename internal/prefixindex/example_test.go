package prefixindex_test

import (
	"fmt"

	"shaletrestle/internal/prefixindex"
)

// Two prompts share a preamble; at the second sighting the replica is believed to hold it.
func ExampleIndex() {
	index := prefixindex.NewIndex()
	root := prefixindex.RootKey("model", 1)
	first := prefixindex.NewChain(root, prefixindex.ParseParts("5c1e07a2:800,91bd3f06:410"))
	second := prefixindex.NewChain(root, prefixindex.ParseParts("5c1e07a2:800,0badcafe:17"))

	const memoryTokens = 100_000
	index.RecordSent("replica-1", memoryTokens, first, "owner")
	fmt.Println(index.Matched("replica-1", second))
	index.RecordSent("replica-1", memoryTokens, second, "owner")
	fmt.Println(index.Matched("replica-1", second))
	fmt.Println(index.Matched("replica-2", second))
	// Output:
	// 0
	// 800
	// 0
}

// The key of a part stands for all that goes before it.
func ExampleNewChain() {
	root := prefixindex.RootKey("model", 1)
	first := prefixindex.NewChain(root, []prefixindex.Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}})
	second := prefixindex.NewChain(root, []prefixindex.Part{{ID: 3, Tokens: 100}, {ID: 2, Tokens: 50}})
	fmt.Println(first.Tokens(), first.Keys[1] == second.Keys[1])
	// Output: 150 false
}
