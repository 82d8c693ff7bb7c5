package store_test

import (
	"errors"
	"fmt"
	"os"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
)

func ExampleOpen() {
	dir, err := os.MkdirTemp("", "store")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()

	s, err := store.Open(store.OSFiles{}, dir, store.Options{Bootstrap: true, Seeds: []string{"10.0.0.1:7720"}})
	if err != nil {
		panic(err)
	}
	entry := core.Entry{Index: 1, Epoch: 1, Data: []byte("first")}
	fmt.Println(errors.Is(s.Append(entry), store.ErrLogClosed)) // there is no snapshot that it could follow
	fmt.Println(s.SaveSnapshot(core.Snapshot{}, nil))
	fmt.Println(s.Append(entry))
	s.Close()

	s, err = store.Open(store.OSFiles{}, dir, store.Options{})
	if err != nil {
		panic(err)
	}
	defer s.Close()
	_, bootstrap := s.Identity()
	fmt.Println(bootstrap, s.BootstrapSeeds())
	for _, entry := range s.Load().Entries {
		fmt.Printf("%d %s\n", entry.Index, entry.Data)
	}
	// Output:
	// true
	// <nil>
	// <nil>
	// true [10.0.0.1:7720]
	// 1 first
}
