package storer_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/wire"
)

func entries(from, to uint64) []*wire.Entry {
	var all []*wire.Entry
	for i := from; i <= to; i++ {
		all = append(all, &wire.Entry{Index: i, Term: 1, Data: []byte("some command of usual length")})
	}
	return all
}

// populatedFolder creates a folder with a hard state, a snapshot at index 10 and entries 11 to
// 20.
func populatedFolder(c *qt.C) string {
	folder := c.TempDir()
	s := open(c, folder)
	c.Assert(s.SetIdentity("a/1", "cluster"), qt.IsNil)
	c.Assert(s.Append(&wire.HardState{Term: 3, Vote: "b"}, entries(1, 10)), qt.IsNil)
	c.Assert(s.SaveSnapshot(&wire.Snapshot{Index: 10, Term: 1, State: []byte("state")}, nil), qt.IsNil)
	for i := uint64(11); i <= 20; i++ {
		c.Assert(s.Append(nil, entries(i, i)), qt.IsNil)
	}
	c.Assert(s.Close(), qt.IsNil)
	return folder
}

func open(c *qt.C, folder string) *storer.Storer {
	s := &storer.Storer{Folder: folder}
	_, err := s.Open()
	c.Assert(err, qt.IsNil)
	return s
}

func TestReadsBackWhatWasWritten(t *testing.T) {
	c := qt.New(t)
	folder := populatedFolder(c)
	s := &storer.Storer{Folder: folder}
	got, err := s.Open()
	c.Assert(err, qt.IsNil)
	c.Assert(got.HardState.GetTerm(), qt.Equals, uint64(3))
	c.Assert(got.Snapshot.GetIndex(), qt.Equals, uint64(10))
	c.Assert(got.Entries, qt.HasLen, 10)
	// An entry at an earlier index replaces all entries from there on.
	c.Assert(s.Append(nil, []*wire.Entry{{Index: 15, Term: 2}}), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	got, err = (&storer.Storer{Folder: folder}).Open()
	c.Assert(err, qt.IsNil)
	c.Assert(got.Entries, qt.HasLen, 5)
	c.Assert(got.Entries[4].GetTerm(), qt.Equals, uint64(2))
}

func TestDamagedFiles(t *testing.T) {
	cases := map[string]struct {
		file    string
		corrupt func(data []byte) []byte
		damaged bool
		entries int
	}{
		"a torn last record is truncated": {
			file: "Log", corrupt: func(d []byte) []byte { return d[:len(d)-7] }, entries: 9,
		},
		"garbage after the last record is truncated": {
			file: "Log", corrupt: func(d []byte) []byte { return append(d, "garbage that was never synced"...) }, entries: 10,
		},
		"a flipped bit before the tail is damage": {
			file: "Log", corrupt: func(d []byte) []byte { d[len(d)/2] ^= 1; return d }, damaged: true,
		},
		"a hole before the tail is damage": {
			file: "Log", corrupt: func(d []byte) []byte { return append(d[:60:60], d[90:]...) }, damaged: true,
		},
		"a flipped bit in the snapshot is damage": {
			file: "Snapshot", corrupt: func(d []byte) []byte { d[len(d)-1] ^= 1; return d }, damaged: true,
		},
		"a short snapshot is damage": {
			file: "Snapshot", corrupt: func(d []byte) []byte { return d[:len(d)-1] }, damaged: true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			folder := populatedFolder(c)
			file := filepath.Join(folder, tc.file)
			data, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			c.Assert(os.WriteFile(file, tc.corrupt(data), 0o600), qt.IsNil)
			s := &storer.Storer{Folder: folder}
			got, err := s.Open()
			c.Assert(storer.IsDamaged(err), qt.Equals, tc.damaged, qt.Commentf("%v", err))
			if tc.damaged {
				assertRejoinsEmpty(c, s)
				return
			}
			c.Assert(got.Entries, qt.HasLen, tc.entries)
			// Entries appended after a truncation are read back.
			next := got.Entries[len(got.Entries)-1].GetIndex() + 1
			c.Assert(s.Append(nil, entries(next, next)), qt.IsNil)
			c.Assert(s.Close(), qt.IsNil)
			got, err = (&storer.Storer{Folder: folder}).Open()
			c.Assert(err, qt.IsNil)
			c.Assert(got.Entries, qt.HasLen, tc.entries+1)
		})
	}
}

// assertRejoinsEmpty checks that a damaged disk has no identity, and so no vote, any more.
func assertRejoinsEmpty(c *qt.C, s *storer.Storer) {
	target, err := s.MoveDamagedFiles(time.Unix(1, 0))
	c.Assert(err, qt.IsNil)
	_, err = os.Stat(filepath.Join(target, "Identity"))
	c.Assert(err, qt.IsNil)
	got, err := s.Open()
	c.Assert(err, qt.IsNil)
	c.Assert(got.Entries, qt.HasLen, 0)
	id, _, err := s.Identity()
	c.Assert(err, qt.IsNil)
	c.Assert(id, qt.Equals, "")
}

func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	c := qt.New(t)
	folder := populatedFolder(c)
	old, err := os.ReadFile(filepath.Join(folder, "Log"))
	c.Assert(err, qt.IsNil)
	s := open(c, folder)
	c.Assert(s.SaveSnapshot(&wire.Snapshot{Index: 18, Term: 1}, entries(19, 20)), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	// The crash came after the rename of the snapshot and before that of the log.
	c.Assert(os.WriteFile(filepath.Join(folder, "Log"), old, 0o600), qt.IsNil)
	got, err := (&storer.Storer{Folder: folder}).Open()
	c.Assert(err, qt.IsNil)
	c.Assert(got.Snapshot.GetIndex(), qt.Equals, uint64(18))
	c.Assert(got.Entries, qt.HasLen, 2)
	c.Assert(got.HardState.GetTerm(), qt.Equals, uint64(3))
}

// A state of 100,000 claims takes more than 58 MB.
func TestLargeSnapshotIsReadBack(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	s := open(c, folder)
	state := make([]byte, 70<<20)
	c.Assert(s.SaveSnapshot(&wire.Snapshot{Index: 10, State: state}, nil), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	got, err := (&storer.Storer{Folder: folder}).Open()
	c.Assert(err, qt.IsNil)
	c.Assert(got.Snapshot.GetState(), qt.HasLen, len(state))
}

func TestStaleSnapshotIsDiscarded(t *testing.T) {
	c := qt.New(t)
	folder := populatedFolder(c)
	s := open(c, folder)
	pending, err := s.PrepareSnapshot(&wire.Snapshot{Index: 12, Term: 1})
	c.Assert(err, qt.IsNil)
	// A newer snapshot from a leader is saved first.
	c.Assert(s.SaveSnapshot(&wire.Snapshot{Index: 15, Term: 1}, nil), qt.IsNil)
	pending.Discard()
	c.Assert(s.Close(), qt.IsNil)
	got, err := (&storer.Storer{Folder: folder}).Open()
	c.Assert(err, qt.IsNil)
	c.Assert(got.Snapshot.GetIndex(), qt.Equals, uint64(15))
}

func TestFolderIsLockedForOneProcess(t *testing.T) {
	c := qt.New(t)
	folder := populatedFolder(c)
	first := open(c, folder)
	_, err := (&storer.Storer{Folder: folder}).Open()
	c.Assert(err, qt.IsNotNil)
	c.Assert(first.Close(), qt.IsNil)
}

func FuzzOpen(f *testing.F) {
	c := qt.New(f)
	seed, err := os.ReadFile(filepath.Join(populatedFolder(c), "Log"))
	c.Assert(err, qt.IsNil)
	f.Add(seed)
	f.Add(seed[:len(seed)-3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		folder := c.TempDir()
		c.Assert(os.WriteFile(filepath.Join(folder, "Log"), data, 0o600), qt.IsNil)
		s := &storer.Storer{Folder: folder}
		got, err := s.Open()
		if err != nil {
			c.Assert(storer.IsDamaged(err), qt.IsTrue)
			return
		}
		c.Assert(s.Close(), qt.IsNil)
		again, err := (&storer.Storer{Folder: folder}).Open()
		c.Assert(err, qt.IsNil)
		c.Assert(again.TornBytes, qt.Equals, 0)
		c.Assert(proto.Equal(again.HardState, got.HardState), qt.IsTrue)
		c.Assert(again.Entries, qt.HasLen, len(got.Entries))
	})
}

// A full disk accepts part of a write. Nothing of it may be read back, and entries appended
// once there is space again must follow those stored before.
func TestFullDisk(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	full := false
	s := &storer.Storer{Folder: folder, Write: func(f *os.File, b []byte) (int, error) {
		if !full {
			return f.Write(b)
		}
		n, err := f.Write(b[:len(b)/2])
		c.Assert(err, qt.IsNil)
		return n, &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}}
	_, err := s.Open()
	c.Assert(err, qt.IsNil)
	entry := func(i uint64) *wire.Entry { return &wire.Entry{Index: i, Term: 1, Data: []byte("some data")} }
	c.Assert(s.Append(&wire.HardState{Term: 1}, []*wire.Entry{entry(1)}), qt.IsNil)
	full = true
	err = s.Append(&wire.HardState{Term: 2}, []*wire.Entry{entry(2), entry(3)})
	c.Assert(storer.IsFull(err), qt.IsTrue)
	c.Assert(storer.IsDamaged(err), qt.IsFalse)
	full = false
	c.Assert(s.Append(nil, []*wire.Entry{entry(2)}), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	contents, err := (&storer.Storer{Folder: folder}).Open()
	c.Assert(err, qt.IsNil)
	c.Check(contents.TornBytes, qt.Equals, 0)
	c.Check(contents.Entries, qt.HasLen, 2)
	c.Check(contents.HardState.GetTerm(), qt.Equals, uint64(1))
}

// A hard state that a full disk did not accept was put into force by the next snapshot, although
// Append had reported that the log is unchanged.
func TestSnapshotKeepsStoredHardStateAfterFullDisk(t *testing.T) {
	c := qt.New(t)
	folder := populatedFolder(c)
	s := open(c, folder)
	s.Write = func(f *os.File, _ []byte) (int, error) {
		return 0, &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	c.Assert(storer.IsFull(s.Append(&wire.HardState{Term: 4}, nil)), qt.IsTrue)
	c.Assert(s.SaveSnapshot(&wire.Snapshot{Index: 15, Term: 1}, entries(16, 20)), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	got, err := (&storer.Storer{Folder: folder}).Open()
	c.Assert(err, qt.IsNil)
	c.Check(got.HardState.GetTerm(), qt.Equals, uint64(3))
	c.Check(got.HardState.GetVote(), qt.Equals, "b")
}

// A full disk was reported as if nothing had changed when a file had been renamed already and
// only the sync of the folder failed. After the rename of the log, entries were then appended to
// the removed file and lost at the next start.
func TestFullDiskAfterRenameIsNoFullDisk(t *testing.T) {
	for name, failing := range map[string]int{"of the snapshot": 1, "of the log": 2} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := open(c, populatedFolder(c))
			syncs := 0
			s.SyncFolder = func(f *os.File) error {
				if syncs++; syncs == failing {
					return &os.PathError{Op: "sync", Path: f.Name(), Err: syscall.ENOSPC}
				}
				return f.Sync()
			}
			err := s.SaveSnapshot(&wire.Snapshot{Index: 15, Term: 1}, entries(16, 20))
			c.Check(syncs, qt.Equals, failing)
			c.Check(err, qt.ErrorMatches, "storer: Sync: .*no space left on device")
			c.Check(storer.IsFull(err), qt.IsFalse)
			c.Check(s.Close(), qt.IsNil)
		})
	}
}
