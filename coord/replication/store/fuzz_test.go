package store_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
)

const fuzzOwner = 7

func FuzzSegment(f *testing.F) {
	complete := store.EncodeSegment(fuzzOwner, startEntries)
	f.Add(complete)
	f.Add(complete[:len(complete)-3])
	f.Add(append(append([]byte{}, complete[:20]...), complete[30:]...))
	f.Fuzz(func(t *testing.T, segment []byte) {
		entries, complete, err := store.ReadSegment(fuzzOwner, startSnapshot.Position, segment)
		if err != nil {
			return
		}
		require.LessOrEqual(t, complete, len(segment))
		end := startSnapshot.Position
		for _, entry := range entries {
			require.True(t, entry.Follows(end))
			end = entry.Position()
		}
		again, size, err := store.ReadSegment(fuzzOwner, startSnapshot.Position, segment[:complete])
		require.NoError(t, err, "a segment whose torn end was truncated is complete")
		require.Equal(t, complete, size)
		require.Equal(t, entries, again)
	})
}

func FuzzRecords(f *testing.F) {
	register, err := store.EncodeRegister(fuzzOwner, savedRegister)
	require.NoError(f, err)
	f.Add(register)
	f.Add(store.EncodeSnapshot(fuzzOwner, 2, startSnapshot))
	f.Add(store.SealIdentity(fuzzOwner, []byte(`{"first_start":true}`)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, record []byte) {
		if snapshot, ok := store.DecodeSnapshot(fuzzOwner, 2, record); ok {
			require.Equal(t, record, store.EncodeSnapshot(fuzzOwner, 2, snapshot))
		}
		if decoded, ok := store.DecodeRegister(fuzzOwner, record); ok {
			encoded, err := store.EncodeRegister(fuzzOwner, decoded)
			require.NoError(t, err)
			again, ok := store.DecodeRegister(fuzzOwner, encoded)
			require.True(t, ok)
			require.Equal(t, decoded, again)
		}
		store.DecodeIdentity(record)

		// The same behind a good checksum.
		store.DecodeRegister(fuzzOwner, store.SealRegister(fuzzOwner, record))
		store.DecodeSnapshot(fuzzOwner, 2, store.SealSnapshot(fuzzOwner, record))
		store.DecodeIdentity(store.SealIdentity(fuzzOwner, record))
		sealed := store.AppendRecord(nil, store.SealEntry(fuzzOwner, record))
		_, _, _ = store.ReadSegment(fuzzOwner, core.Position{}, sealed)
	})
}

// FuzzOpen puts any content in place of a file. The directory is opened with its other contents, or without the last entries of its log, or with a new identity and nothing else.
func FuzzOpen(f *testing.F) {
	f.Add(uint8(0), []byte("nonsense"))
	f.Add(uint8(1), []byte{})
	f.Add(uint8(2), store.EncodeSnapshot(fuzzOwner, 1, startSnapshot))
	f.Add(uint8(3), store.EncodeSegment(fuzzOwner, startEntries))
	f.Fuzz(func(t *testing.T, which uint8, content []byte) {
		disk, id := newFilledDisk(t)
		names, err := disk.List(modelDir)
		require.NoError(t, err)
		path := modelDir + "/" + names[int(which)%len(names)]
		if inner, err := disk.List(path); err == nil {
			path += "/" + inner[0]
		}
		file, err := disk.Create(path)
		require.NoError(t, err)
		_, err = file.Write(content)
		require.NoError(t, err)

		opened, err := store.Open(disk, modelDir, store.Options{Bootstrap: true})
		if err != nil {
			require.ErrorIs(t, err, store.ErrOldFormat)
			return
		}
		newID, firstStart := opened.Identity()
		if opened.Damage() != "" {
			require.NotEqual(t, id, newID)
			require.False(t, firstStart)
			require.Equal(t, core.Stored{}, opened.Load())
			return
		}
		loaded := opened.Load()
		require.Equal(t, id, newID)
		require.Equal(t, savedRegister, loaded.Register)
		require.Equal(t, &startSnapshot, loaded.Snapshot)
		require.Equal(t, startEntries[:len(loaded.Entries)], append([]core.Entry{}, loaded.Entries...))
	})
}
