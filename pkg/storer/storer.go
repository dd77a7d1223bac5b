// Package storer stores a controller's log, votes and snapshots on disk.
//
// All files are in one folder: Identity (the incarnation of this disk and the cluster),
// Snapshot, Log, and the Lock against other processes. A method returns after its writes are
// synced; a rename syncs the folder too. After a failed write or sync other than KindFull the
// process must exit, since the contents of the disk are then unknown.
package storer

import (
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

const (
	identityName = "Identity"
	snapshotName = "Snapshot"
	logName      = "Log"
	lockName     = "Lock"
	filePerm     = 0o600
	folderPerm   = 0o700
)

// Contents is what Open read from a folder.
type Contents struct {
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
	// TornBytes is the length of a torn tail that was dropped.
	TornBytes int
}

// Storer writes to one data folder. Set Folder, then call Open.
type Storer struct {
	Folder string
	// Write writes to the log; nil uses the file's own method. Tests replace it to inject
	// failures.
	Write func(f *os.File, b []byte) (int, error)
	// SyncFolder syncs the folder; nil uses the file's own method. Tests replace it to inject
	// failures.
	SyncFolder func(f *os.File) error

	log       *os.File
	lock      *os.File
	buf       []byte
	hardState *wire.HardState
	// size is the length of the log's valid part.
	size int64
}

// Open creates the folder if necessary and reads it. After an error of KindDamaged this disk
// must not vote any more; see MoveDamagedFiles.
func (s *Storer) Open() (*Contents, error) {
	if err := os.MkdirAll(s.Folder, folderPerm); err != nil {
		return nil, diskFault("Open", err)
	}
	if err := s.acquireLock(); err != nil {
		return nil, err
	}
	c := &Contents{}
	if err := s.readSnapshot(c); err != nil {
		return nil, err
	}
	if err := s.readLog(c); err != nil {
		return nil, err
	}
	s.hardState = c.HardState
	return c, nil
}

// Close releases the folder.
func (s *Storer) Close() error {
	if s.log != nil {
		if err := s.log.Close(); err != nil {
			return diskFault("Close", err)
		}
	}
	if s.lock == nil {
		return nil
	}
	return diskFault("Close", s.lock.Close())
}

// Identity returns the identity of this disk, or "" for a new one.
func (s *Storer) Identity() (id, cluster string, err error) {
	buf, err := os.ReadFile(s.path(identityName))
	if os.IsNotExist(err) {
		return "", "", nil
	}
	if err != nil {
		return "", "", diskFault("Identity", err)
	}
	rec, _, ok := decodeRecord(buf)
	identity := &wire.Identity{}
	if !ok || rec.kind != recordIdentity || proto.Unmarshal(rec.payload, identity) != nil {
		return "", "", damaged("Identity", "file %s can't be read", identityName)
	}
	return identity.GetId(), identity.GetCluster(), nil
}

// SetIdentity stores the identity of this disk.
func (s *Storer) SetIdentity(id, cluster string) error {
	payload, err := proto.Marshal(&wire.Identity{Id: id, Cluster: cluster})
	if err != nil {
		return diskFault("SetIdentity", err)
	}
	return s.replaceFile(identityName, appendRecord(nil, recordIdentity, payload))
}

// Append writes and syncs a hard state, if not nil, and entries. An entry at or below the last
// index truncates the log there.
func (s *Storer) Append(hard *wire.HardState, entries []*wire.Entry) error {
	s.buf = s.buf[:0]
	if hard != nil {
		if err := s.encode(recordHardState, hard); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := s.encode(recordEntry, e); err != nil {
			return err
		}
	}
	if len(s.buf) == 0 {
		return nil
	}
	write := s.Write
	if write == nil {
		write = (*os.File).Write
	}
	if _, err := write(s.log, s.buf); err != nil {
		return s.rollBackAppend(err)
	}
	if err := s.log.Sync(); err != nil {
		return &Error{Operation: "Append", Kind: KindDisk, cause: errors.WithStack(err)}
	}
	s.size += int64(len(s.buf))
	if hard != nil {
		s.hardState = hard
	}
	return nil
}

// rollBackAppend removes what a failed write may have left when the disk was full, so that the
// same may be appended again later.
func (s *Storer) rollBackAppend(cause error) error {
	if !errors.Is(cause, syscall.ENOSPC) {
		return diskFault("Append", cause)
	}
	if err := s.log.Truncate(s.size); err != nil {
		// The cause, a full disk, is not returned: the contents of the log are unknown now.
		return &Error{Operation: "Append", Kind: KindDisk, cause: errors.WithStack(err)}
	}
	return diskFault("Append", cause)
}

// PendingSnapshot is a snapshot that is on disk but not in force yet.
type PendingSnapshot struct {
	file *renameio.PendingFile
}

// Discard removes a snapshot that is superseded.
func (p *PendingSnapshot) Discard() { _ = p.file.Cleanup() }

// PrepareSnapshot writes and syncs a snapshot that CommitSnapshot puts into force. It may run
// concurrently with the other methods.
func (s *Storer) PrepareSnapshot(snapshot *wire.Snapshot) (*PendingSnapshot, error) {
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, diskFault("PrepareSnapshot", err)
	}
	if len(payload) > maxPayloadSize {
		return nil, damaged("PrepareSnapshot", "the snapshot takes %d bytes, more than the limit of %d", len(payload), maxPayloadSize)
	}
	file, err := renameio.NewPendingFile(s.path(snapshotName), renameio.WithPermissions(filePerm))
	if err != nil {
		return nil, diskFault("PrepareSnapshot", err)
	}
	pending := &PendingSnapshot{file: file}
	if _, err := file.Write(appendRecord(nil, recordSnapshot, payload)); err != nil {
		pending.Discard()
		return nil, diskFault("PrepareSnapshot", err)
	}
	if err := file.Sync(); err != nil {
		pending.Discard()
		return nil, diskFault("PrepareSnapshot", err)
	}
	return pending, nil
}

// SaveSnapshot writes a snapshot and puts it into force.
func (s *Storer) SaveSnapshot(snapshot *wire.Snapshot, rest []*wire.Entry) error {
	pending, err := s.PrepareSnapshot(snapshot)
	if err != nil {
		return err
	}
	return s.CommitSnapshot(pending, rest)
}

// CommitSnapshot replaces the snapshot and then the log, which from then on holds
// only the given entries. A crash in between leaves entries that the snapshot
// already covers, which Open drops. After an error of KindFull the snapshot may be in force; the
// old log then stays in use.
func (s *Storer) CommitSnapshot(pending *PendingSnapshot, rest []*wire.Entry) error {
	if err := pending.file.CloseAtomicallyReplace(); err != nil {
		return diskFault("CommitSnapshot", err)
	}
	if err := s.syncFolder(); err != nil {
		return err
	}
	s.buf = s.buf[:0]
	if s.hardState != nil {
		if err := s.encode(recordHardState, s.hardState); err != nil {
			return err
		}
	}
	for _, e := range rest {
		if err := s.encode(recordEntry, e); err != nil {
			return err
		}
	}
	if err := s.replaceFile(logName, s.buf); err != nil {
		return err
	}
	return s.openLog()
}

// MoveDamagedFiles moves the files of a damaged folder into a subfolder, so that the instance
// can join again with an empty one. Nothing is deleted.
func (s *Storer) MoveDamagedFiles(now time.Time) (string, error) {
	target := s.path("Damaged-" + strconv.FormatInt(now.UnixNano(), 10))
	if err := os.MkdirAll(target, folderPerm); err != nil {
		return "", diskFault("MoveDamagedFiles", err)
	}
	for _, name := range []string{identityName, snapshotName, logName} {
		err := os.Rename(s.path(name), filepath.Join(target, name))
		if err != nil && !os.IsNotExist(err) {
			return "", diskFault("MoveDamagedFiles", err)
		}
	}
	return target, s.syncFolder()
}

func (s *Storer) encode(kind recordKind, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return diskFault("Encode", err)
	}
	s.buf = appendRecord(s.buf, kind, payload)
	return nil
}

func (s *Storer) readSnapshot(c *Contents) error {
	buf, err := os.ReadFile(s.path(snapshotName))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return diskFault("Open", err)
	}
	rec, size, ok := decodeRecord(buf)
	c.Snapshot = &wire.Snapshot{}
	if !ok || size != len(buf) || rec.kind != recordSnapshot || proto.Unmarshal(rec.payload, c.Snapshot) != nil {
		return damaged("Open", "the snapshot can't be read")
	}
	return nil
}

func (s *Storer) readLog(c *Contents) error {
	buf, err := os.ReadFile(s.path(logName))
	if err != nil && !os.IsNotExist(err) {
		return diskFault("Open", err)
	}
	records, validSize, err := decodeRecords(buf)
	if err != nil {
		return err
	}
	if err := c.replay(records); err != nil {
		return err
	}
	c.TornBytes = len(buf) - validSize
	if err := s.openLog(); err != nil {
		return err
	}
	if c.TornBytes == 0 {
		return s.syncFolder()
	}
	if err := s.log.Truncate(int64(validSize)); err != nil {
		return diskFault("Open", err)
	}
	s.size = int64(validSize)
	return diskFault("Open", s.log.Sync())
}

// replay rebuilds the hard state and the entries after the snapshot.
func (c *Contents) replay(records []record) error {
	base := c.Snapshot.GetIndex()
	for _, rec := range records {
		switch rec.kind {
		case recordHardState:
			c.HardState = &wire.HardState{}
			if err := proto.Unmarshal(rec.payload, c.HardState); err != nil {
				return damaged("Open", "hard state: %v", err)
			}
		case recordEntry:
			e := &wire.Entry{}
			if err := proto.Unmarshal(rec.payload, e); err != nil {
				return damaged("Open", "entry: %v", err)
			}
			if e.GetIndex() <= base {
				c.Entries = nil
				continue
			}
			keep := e.GetIndex() - base - 1
			if keep > uint64(len(c.Entries)) {
				return damaged("Open", "entry %d follows entry %d", e.GetIndex(), base+uint64(len(c.Entries)))
			}
			c.Entries = append(c.Entries[:keep], e)
		default:
			return damaged("Open", "record of kind %d in the log", rec.kind)
		}
	}
	return nil
}

func (s *Storer) openLog() error {
	if s.log != nil {
		if err := s.log.Close(); err != nil {
			return diskFault("Open", err)
		}
	}
	log, err := os.OpenFile(s.path(logName), os.O_RDWR|os.O_CREATE|os.O_APPEND, filePerm)
	if err != nil {
		return diskFault("Open", err)
	}
	s.log = log
	info, err := log.Stat()
	if err != nil {
		return diskFault("Open", err)
	}
	s.size = info.Size()
	return nil
}

// replaceFile replaces a file atomically: a new one is synced, renamed over the old one, and
// the folder synced.
func (s *Storer) replaceFile(name string, data []byte) error {
	if err := renameio.WriteFile(s.path(name), data, filePerm); err != nil {
		return diskFault("Replace", err)
	}
	return s.syncFolder()
}

func (s *Storer) syncFolder() error {
	folder, err := os.Open(s.Folder)
	if err != nil {
		return diskFault("Sync", err)
	}
	sync := s.SyncFolder
	if sync == nil {
		sync = (*os.File).Sync
	}
	if err := sync(folder); err != nil {
		_ = folder.Close()
		// Not KindFull on a full disk either: files have been renamed, and whether that outlasts
		// a power failure is unknown.
		return &Error{Operation: "Sync", Kind: KindDisk, cause: errors.WithStack(err)}
	}
	return diskFault("Sync", folder.Close())
}

func (s *Storer) path(name string) string { return filepath.Join(s.Folder, name) }
