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

// The instances that are known are kept on the disk, where there is one, so that a fleet which was ended all at once
// need not wait for their heartbeats. Those that are gone are kept too, so that an older copy on another machine does not
// bring one back that had been told to be gone. Nothing else depends on the copy being new: each request names the instance
// it is for.

const (
	snapshotFolder = "instances"
	snapshotEvery  = time.Second
)

// restoreInstances reads the copy and tells it to the others.
func (b *Broker) restoreInstances() {
	if b.settings.DataDir == "" {
		return
	}
	disk, err := b.environment.OpenDisk(filepath.Join(b.settings.DataDir, snapshotFolder))
	if err != nil {
		b.logger.Warn().Err(err).Msg("no copy of the instances")
		return
	}
	store, contents, err := slots.Open(disk)
	if store == nil {
		b.logger.Warn().Err(err).Msg("no copy of the instances")
		return
	}
	b.snapshot = store
	if errors.Is(err, slots.ErrEmpty) || errors.Is(err, slots.ErrDamaged) {
		return
	}
	var all []instances.Instance
	if err := gob.NewDecoder(bytes.NewReader(contents.State)).Decode(&all); err != nil {
		b.logger.Warn().Err(err).Msg("the copy of the instances cannot be read")
		return
	}
	for _, i := range all {
		b.node.Publish(i.Record())
	}
}

// saveInstances writes the copy when it has changed.
func (b *Broker) saveInstances(ctx context.Context) {
	for b.snapshot != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(snapshotEvery):
		}
		b.mu.Lock()
		unsaved, all := b.unsaved, b.registry.Known()
		b.unsaved = false
		b.mu.Unlock()
		if !unsaved {
			continue
		}
		var text bytes.Buffer
		if err := gob.NewEncoder(&text).Encode(all); err != nil {
			panic(err) // its types are fixed
		}
		if err := b.snapshot.Checkpoint(text.Bytes()); err != nil {
			b.logger.Warn().Err(err).Msg("the copy of the instances was not written")
		}
	}
}
