package router

import (
	"bytes"
	"context"
	"encoding/gob"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/instances"
	"gullstair/internal/slots"
)

// A broker with a disk stores a snapshot of the known instances, so that a fleet that stopped all at once does not have to
// wait for their heartbeats. The snapshot includes instances that have gone, so that an older snapshot on another machine
// does not bring them back. A stale snapshot is otherwise harmless, since each request names the instance it is meant for.

const (
	snapshotDir      = "instances"
	snapshotInterval = time.Second
)

// restoreInstances reads the snapshot and publishes its instances to the fleet.
func (b *Broker) restoreInstances() {
	if b.settings.DataDir == "" {
		return
	}
	disk, err := b.environment.OpenDisk(filepath.Join(b.settings.DataDir, snapshotDir))
	if err != nil {
		b.logger.Warn().Err(err).Msg("cannot open the disk of the instance snapshot")
		return
	}
	store, contents, err := slots.Open(disk)
	if store == nil {
		b.logger.Warn().Err(err).Msg("cannot open the instance snapshot")
		return
	}
	b.snapshot = store
	if errors.Is(err, slots.ErrEmpty) || errors.Is(err, slots.ErrDamaged) {
		return
	}
	var all []instances.Instance
	if err := gob.NewDecoder(bytes.NewReader(contents.State)).Decode(&all); err != nil {
		b.logger.Warn().Err(err).Msg("cannot decode the instance snapshot")
		return
	}
	for _, i := range all {
		b.node.Publish(i.Record())
	}
}

// saveInstances writes the snapshot whenever the instances have changed.
func (b *Broker) saveInstances(ctx context.Context) {
	for b.snapshot != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(snapshotInterval):
		}
		b.mu.Lock()
		unsaved, all := b.unsaved, b.registry.Known()
		b.unsaved = false
		b.mu.Unlock()
		if !unsaved {
			continue
		}
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(all); err != nil {
			panic(err) // unreachable: the types are fixed and encodable
		}
		if err := b.snapshot.Checkpoint(buffer.Bytes()); err != nil {
			b.logger.Warn().Err(err).Msg("cannot write the instance snapshot")
		}
	}
}
