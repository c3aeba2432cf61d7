package router

import (
	"context"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/dissemination"
	"gullstair/internal/instances"
	"gullstair/internal/instancestore"
	"gullstair/internal/journalfile"
	"gullstair/internal/lifecycle"
)

// A broker with a disk stores the known instances, so that a fleet that stopped all at once does not have to wait for their
// heartbeats. They include instances that have gone, so that older contents of another machine's disk do not bring them
// back. Ends are stored before they are acknowledged, all other changes up to snapshotInterval later: a stale description
// of a ready instance is harmless, since each request names the instance it is meant for.

const (
	snapshotDir      = "instances"
	snapshotInterval = time.Second
	restoreTimeout   = time.Second
)

var errNoInstance = errors.New("only instances can be stored")

// newInstanceStore returns the store of this machine's instances.
func (b *Broker) newInstanceStore() *instancestore.Store {
	open := func() (journalfile.Disk, error) {
		return b.environment.OpenDisk(filepath.Join(b.settings.DataDir, snapshotDir))
	}
	return instancestore.New(open, b.knownInstances, b.publishInstances)
}

func (b *Broker) knownInstances() []instances.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.Known()
}

// publishInstances publishes instances to the fleet. Brokers that know something newer of them ignore it.
func (b *Broker) publishInstances(all []instances.Instance) {
	for _, i := range all {
		b.node.Publish(i.Record())
	}
}

// restoreInstances publishes the stored instances. A disk that hangs does not hold up the start for longer than
// restoreTimeout: whatever uses the store later waits for it, or restores them first.
func (b *Broker) restoreInstances(ctx context.Context) {
	if b.saved == nil {
		return
	}
	restored := make(chan struct{})
	lifecycle.Go(func() {
		defer close(restored)
		if err := b.saved.Open(ctx); err != nil {
			b.logger.Warn().Err(err).Msg("cannot restore the stored instances")
		}
	})
	select {
	case <-restored:
	case <-time.After(restoreTimeout):
		b.logger.Warn().Dur("after", restoreTimeout).Msg("the disk of the stored instances does not answer yet")
	}
}

// storeRecords makes the records of instances durable.
func (b *Broker) storeRecords(ctx context.Context, records []dissemination.Record) error {
	var added []instances.Instance
	for _, r := range records {
		i, isInstance := r.Body.(instances.Instance)
		if !isInstance {
			return errNoInstance
		}
		added = append(added, i)
	}
	return b.saved.Append(ctx, added)
}

// saveInstances stores the instances whenever they have changed, and again if the disk rejects them.
func (b *Broker) saveInstances(ctx context.Context) {
	for b.saved != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(snapshotInterval):
		}
		if !b.setUnsaved(false) {
			continue
		}
		if err := b.saved.Save(ctx); err != nil {
			b.setUnsaved(true)
			b.logger.Warn().Err(err).Msg("cannot store the instances")
		}
	}
}

// setUnsaved records whether there are instances to be saved, and returns whether there were.
func (b *Broker) setUnsaved(unsaved bool) (before bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, b.unsaved = b.unsaved, unsaved
	return before
}
