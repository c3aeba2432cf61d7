package router

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"gullstair/internal/cluster"
	"gullstair/internal/journalfile"
	"gullstair/internal/lifecycle"
	"gullstair/internal/memnet"
	"gullstair/internal/settings"
)

// TestFirstStartOnFullDisks guards against a fleet that is never founded because its disks refused the first write.
func TestFirstStartOnFullDisks(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newSimFleetOnDisks(t, 82, 4, 3, func(d *memoryDisk) { d.fail = true })
		time.Sleep(5 * time.Second)
		for _, m := range w.machines {
			m.disk.mu.Lock()
			m.disk.fail = false
			m.disk.mu.Unlock()
		}
		if status := w.replace(w.client("10.8.0.1"), 0, 1, configurationOf(1, "")); status != http.StatusOK {
			w.failf("the first configuration got %d", status)
		}
		w.shutdown()
	})
}

// TestStartBesideADiskThatHangs opens a disk that does not answer for a while, for good, or until the process is told to
// end. While it waits, nobody is kept waiting at an address.
func TestStartBesideADiskThatHangs(t *testing.T) {
	for name, c := range map[string]struct {
		hangs, stopAfter time.Duration // 0: for good, never
		want             error
		status           lifecycle.Status
		within           time.Duration
	}{
		"for a while":      {20 * time.Second, 0, nil, 0, 21 * time.Second},
		"for good":         {0, 0, errors.New("the disk does not answer"), lifecycle.StatusDisk, 62 * time.Second},
		"until it is told": {0, 7 * time.Second, lifecycle.ErrStopped, lifecycle.StatusEnded, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				network := memnet.New(time.Millisecond)
				answers := make(chan struct{})
				environment := cluster.Environment{Network: network.Host("10.0.0.1"), OpenDisk: func(path string) (journalfile.Disk, error) {
					<-answers
					return &diskHandle{disk: &memoryDisk{files: map[string]*memoryFile{}}, ended: new(bool), path: path}, nil
				}}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.hangs > 0 {
					time.AfterFunc(c.hangs, func() { close(answers) })
				} else {
					defer close(answers)
				}
				if c.stopAfter > 0 {
					time.AfterFunc(c.stopAfter, cancel)
				}
				time.AfterFunc(5*time.Second, func() {
					_, err := network.Host("10.0.0.2").Dial(ctx, "10.0.0.1:"+frontPort, time.Second)
					require.Error(t, err, "a connection is refused while the disk hangs")
				})
				begun := time.Now()
				_, failure := New(ctx, startSettings(t), "", &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, environment)
				require.LessOrEqual(t, time.Since(begun), c.within)
				if c.want == nil {
					require.Nil(t, failure)
					return
				}
				require.EqualError(t, failure.Cause, c.want.Error())
				require.Equal(t, c.status, failure.Status())
			})
		})
	}
}

// TestStartBesideStoredInstancesThatHang runs a broker whose replica can be read and whose stored instances cannot. It must
// serve soon, and end when it is told to.
func TestStartBesideStoredInstancesThatHang(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		answers := make(chan struct{})
		environment := cluster.Environment{Network: network.Host("10.0.0.1"), OpenDisk: func(path string) (journalfile.Disk, error) {
			if filepath.Base(path) == snapshotDir {
				<-answers
			}
			return &diskHandle{disk: &memoryDisk{files: map[string]*memoryFile{}}, ended: new(bool), path: path}, nil
		}}
		begun := time.Now()
		broker, failure := New(t.Context(), startSettings(t), "", &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, environment)
		require.Nil(t, failure)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan *lifecycle.Failure, 1)
		go func() { ended <- broker.Run(ctx) }()
		operator := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Host("10.0.0.2").Dial(ctx, address, time.Second)
		}}}
		response, err := operator.Get("http://10.0.0.1:" + frontPort + "/")
		require.NoError(t, err)
		response.Body.Close()
		require.LessOrEqual(t, time.Since(begun), 2*restoreTimeout)
		time.Sleep(30 * time.Second)
		told := time.Now()
		cancel()
		require.Nil(t, <-ended)
		require.LessOrEqual(t, time.Since(told), broker.settings.Bounds.Grace)
		close(answers)
		time.Sleep(time.Minute)
	})
}

func startSettings(t *testing.T) *settings.Settings {
	s, err := settings.Parse([]byte("node_name=n\nip=10.0.0.1\nzone=a\nlisten.front=10.0.0.1:" + frontPort + "\nephemeral_ports=7000,7015\ncounts_for_quorum=true\ndata_dir=/data\n"))
	require.NoError(t, err)
	return s
}
