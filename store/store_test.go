package store_test

import (
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"egretshunt/block"
	"egretshunt/check"
	"egretshunt/disk"
	"egretshunt/fake"
	"egretshunt/store"
)

func newBlock(account, name string, data []byte) store.StoredBlock {
	var n block.Name
	copy(n[:], name)
	return store.StoredBlock{Account: account, Name: n, Data: data, Sum: disk.Sum(data)}
}

func newStore(t check.T, d disk.FS, memory, files int64) *store.Store {
	t.Helper()
	c := store.Config{Memory: memory, Disk: files, MaxShare: 1}
	if d != nil {
		c.FS = d
	}
	s, err := store.New(c)
	check.NoError(t, err)
	return s
}

func TestStore(t *testing.T) {
	d := fake.NewDisk()
	s := newStore(t, d, 1000, 10_000)
	k := newBlock("a", "one", []byte("some bytes"))
	check.NoError(t, s.Put(k))
	t.Run("another account cannot read a block", func(t *testing.T) {
		_, err := s.Read("b", k.Name)
		check.Kind(t, err, store.NotFound)
	})
	t.Run("rejects data that does not match its checksum", func(t *testing.T) {
		bad := newBlock("a", "bad", []byte("x"))
		bad.Sum++
		check.Kind(t, s.Put(bad), store.Corrupt)
	})
	t.Run("evicted from memory, read from disk", func(t *testing.T) {
		check.Eventually(t, "written to disk", func() bool { return s.Stats().DiskBlocks == 1 })
		for i := range 40 {
			check.NoError(t, s.Put(newBlock("a", fmt.Sprint("fill", i), make([]byte, 100))))
		}
		got, err := s.Read("a", k.Name)
		check.NoError(t, err)
		check.Equal(t, "bytes", string(got.Data), "some bytes")
	})
	t.Run("a restart recovers sealed blocks only", func(t *testing.T) {
		check.Eventually(t, "written to disk", func() bool { return s.Stats().DiskBlocks > 30 })
		s.Close()
		d.CrashAfter(3)
		partial := tryNewStore(d)
		if partial != nil {
			_ = partial.Put(newBlock("a", "half", make([]byte, 500)))
			partial.Close()
		}
		d.Restart(100)
		restarted := newStore(t, d, 1000, 10_000)
		defer restarted.Close()
		got, err := restarted.Read("a", k.Name)
		check.NoError(t, err)
		check.Equal(t, "bytes", string(got.Data), "some bytes")
		_, err = restarted.Read("a", newBlock("a", "half", nil).Name)
		check.Kind(t, err, store.NotFound)
	})
	t.Run("a flipped bit on disk is detected", func(t *testing.T) {
		d := fake.NewDisk()
		s := newStore(t, d, 150, 10_000)
		defer s.Close()
		check.NoError(t, s.Put(k))
		check.Eventually(t, "written", func() bool { return s.Stats().DiskBlocks == 1 })
		check.NoError(t, s.Put(newBlock("a", "other", make([]byte, 150))))
		d.FlipBit("kv-"+k.Name.String(), 100)
		_, err := s.Read("a", k.Name)
		check.Kind(t, err, store.Corrupt)
		_, err = s.Read("a", k.Name)
		check.Kind(t, err, store.NotFound)
	})
	t.Run("a full disk does not affect reads", func(t *testing.T) {
		d := fake.NewDisk()
		s := newStore(t, d, 1000, 10_000)
		defer s.Close()
		d.SetDiskFull(true)
		check.NoError(t, s.Put(k))
		got, err := s.Read("a", k.Name)
		check.NoError(t, err)
		check.Equal(t, "bytes", string(got.Data), "some bytes")
	})
}

func tryNewStore(d disk.FS) *store.Store {
	s, err := store.New(store.Config{Memory: 1000, Disk: 10_000, MaxShare: 1, FS: d})
	if err != nil {
		return nil
	}
	return s
}

// TestConcurrentReadsAndEvictions reads blocks while concurrent writes evict them. A
// read must return the complete data of the requested block or fail.
func TestConcurrentReadsAndEvictions(t *testing.T) {
	s := newStore(t, fake.NewDisk(), 2000, 4000)
	defer s.Close()
	data := func(i int) []byte { return []byte(fmt.Sprintf("block %04d %0100d", i, i)) }
	var work sync.WaitGroup
	for w := range 6 {
		work.Go(func() {
			for n := range 2000 {
				i := (n*7 + w*13) % 80
				k := newBlock("a", fmt.Sprint("k", i), data(i))
				if w%2 == 0 {
					_ = s.Put(k)
					continue
				}
				if got, err := s.Read("a", k.Name); err == nil && string(got.Data) != string(k.Data) {
					t.Errorf("block %d gave %q", i, got.Data)
				}
			}
		})
	}
	work.Wait()
}

// TestStoreAgainstMap compares a store on a crashing disk with a map of the blocks that
// were put: reads may miss but must not return other data or another account's block.
func TestStoreAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := fake.NewDisk()
		s := newStore(t, d, 300, 600)
		put := map[string][]byte{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "block")
				if put[name] == nil {
					put[name] = rapid.SliceOfN(rapid.Byte(), 1, 120).Draw(t, "data")
				}
				_ = s.Put(newBlock("x", name, put[name]))
			},
			"read": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "block")
				got, err := s.Read("x", newBlock("x", name, nil).Name)
				if err == nil && string(got.Data) != string(put[name]) {
					t.Fatalf("read %q, put %q", got.Data, put[name])
				}
				if _, err := s.Read("y", newBlock("y", name, nil).Name); err == nil {
					t.Fatal("another account read the block")
				}
			},
			"crash": func(t *rapid.T) {
				d.CrashAfter(rapid.IntRange(0, 6).Draw(t, "after"))
			},
			"restart": func(t *rapid.T) {
				s.Close()
				d.Restart(rapid.IntRange(0, 200).Draw(t, "torn"))
				s = newStore(t, d, 300, 600)
			},
		})
		s.Close()
	})
}
