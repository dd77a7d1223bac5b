package storer

import (
	"os"
	"syscall"
)

// acquireLock prevents two processes from using one folder.
func (s *Storer) acquireLock() error {
	if s.lock != nil {
		return nil
	}
	f, err := os.OpenFile(s.path(lockName), os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return diskFault("Lock", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return diskFault("Lock", err)
	}
	s.lock = f
	return nil
}
