package cluster

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/journalfile"
	"gullstair/internal/lifecycle"
)

const (
	diskLimit     = time.Minute     // how long a start waits for a disk that refuses, is locked or does not answer
	diskReport    = 5 * time.Second // between two lines about a disk that does not answer
	diskLastWords = time.Second     // after diskLimit, for the cause of a disk that answers at last
)

// errDiskHangs means that the disk has not answered for diskLimit.
var errDiskHangs = errors.New("the disk does not answer")

// openReplica opens the machine's replica, if it may hold one, and prepares its part in founding the register.
func (n *Node) openReplica(ctx context.Context) *lifecycle.Failure {
	if n.settings.DataDir != "" {
		if failure := n.openDisk(ctx); failure != nil {
			return failure
		}
	}
	if n.replica != nil {
		n.self.Core, n.self.Disk = true, n.replica.id().Disk
	}
	n.founding = newFounding(n.settings, n.replica)
	return nil
}

// ReadDiskAgain opens the replica again, because another process may have written to the disk. It must be called before Run.
func (n *Node) ReadDiskAgain(ctx context.Context) *lifecycle.Failure {
	n.replica = nil
	return n.openReplica(ctx)
}

// openDisk locks this machine's disk and opens its replica, if it may hold one. A disk that is full, refuses or is locked
// by the process before is tried again, and one that hangs is waited for.
func (n *Node) openDisk(ctx context.Context) *lifecycle.Failure {
	wait := lifecycle.Wait{Step: lifecycle.Disk, Limit: diskLimit, Passes: journalfile.Passes, Logger: n.logger}
	opened := make(chan *lifecycle.Failure, 1)
	lifecycle.Go(func() { opened <- wait.Until(ctx, n.tryDisk) })
	report := time.NewTicker(diskReport)
	defer report.Stop()
	limit := time.After(diskLimit + diskLastWords)
	for {
		select {
		case failure := <-opened:
			return failure
		case <-ctx.Done():
			return &lifecycle.Failure{Step: lifecycle.Disk, Passes: true, Cause: lifecycle.ErrStopped}
		case <-limit:
			return &lifecycle.Failure{Step: lifecycle.Disk, Passes: true, Cause: errDiskHangs}
		case <-report.C:
			n.logger.Warn().Str("step", string(lifecycle.Disk)).Str("data_dir", n.settings.DataDir).Dur("limit", diskLimit).Msg("the disk is not open yet")
		}
	}
}

func (n *Node) tryDisk() error {
	if err := n.lockDisk(); err != nil {
		return err
	}
	if !n.settings.CountsForQuorum {
		return nil
	}
	replica, err := openReplica(n.settings, n.logger, n.environment.OpenDisk, n.payloads.packing)
	if err == nil {
		n.replica = replica
	}
	return err
}

// lockDisk locks the disk once. A file system without locks is used without one.
func (n *Node) lockDisk() error {
	if n.environment.LockDisk == nil || n.diskLocked {
		return nil
	}
	err := n.environment.LockDisk(n.settings.DataDir)
	if errors.Is(err, journalfile.ErrNoLocks) {
		n.logger.Warn().Err(err).Msg("the data directory is used without a lock")
		n.diskUnlocked, err = true, nil
	}
	n.diskLocked = err == nil
	return err
}
