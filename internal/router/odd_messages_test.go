package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gullstair/internal/dissemination"
	"gullstair/internal/founding"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

// oddMessages returns messages of each kind that no broker sends: with zero values, and with a register that nobody holds.
func oddMessages() []peerlink.Message {
	nobody := register.Members{Sets: [][]register.Replica{{}}}
	known := register.Known{Ballot: register.Ballot{Counter: 1 << 40}, Value: register.Value{Sequence: 1 << 40, Members: nobody}}
	record := dissemination.Record{Kind: 'r', Key: "control", Version: dissemination.Version{Sequence: 1<<40 + 1}, Body: known}
	return []peerlink.Message{{}, {Reply: true}, {Lacks: true}, {Confirmed: -1}, {Stored: true}, {Sections: []byte{1}},
		{Digest: &peerlink.Digest{}}, {Headings: &peerlink.Headings{}}, {Records: &peerlink.Records{}}, {Records: &peerlink.Records{Store: true}},
		{Prepare: &register.Prepare{}}, {Promise: &register.Promise{}}, {Accept: &register.Accept{}}, {Accepted: &register.Accepted{}},
		{Survey: &peerlink.Survey{}}, {Surveyed: &founding.Report{}}, {Surveyed: &founding.Report{Marked: true, Promise: register.Promise{Value: &register.Value{}}}},
		{Found: &peerlink.Found{}}, {Found: &peerlink.Found{Taken: true, Members: nobody}}, {Patched: &peerlink.Patched{}},
		{Delta: &peerlink.Delta{}}, {Announced: &peerlink.Announced{}}, {Announced: &peerlink.Announced{Chosen: &peerlink.Chosen{Members: &nobody}}},
		{Relay: &peerlink.Relay{}}, {Relay: &peerlink.Relay{To: []string{""}}, Records: &peerlink.Records{}},
		{Records: &peerlink.Records{Records: []dissemination.Record{{}, {Kind: 'm'}, record}}}}
}

// TestOddMessages guards against brokers that panic because of a peer's message or reply: it sends odd messages to each
// broker, and puts a program that gives odd replies at the address of a voter.
func TestOddMessages(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, operator := startedFleet(t, 81, 4, 3)
		lost := w.machines[2]
		w.kill(lost, false)
		<-lost.done
		network := w.net.Host(lost.ip)
		listener, err := network.Listen(lost.ip + ":7000")
		if err != nil {
			t.Fatal(err)
		}
		var replies atomic.Int64
		go func() {
			_ = peerlink.Serve(listener, &peerlink.Traffic{}, nil, func(*peerlink.Message) *peerlink.Message {
				all := oddMessages()
				return &all[int(replies.Add(1))%len(all)]
			})
		}()
		client := peerlink.NewClient(network, &peerlink.Traffic{})
		for _, to := range []int{0, 1, 3} {
			for _, m := range oddMessages() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				_, _ = client.Call(ctx, w.machines[to].ip+":7000", m)
				cancel()
			}
		}
		for range 50 {
			w.readBack(operator)
		}
		if status := w.replace(operator, 1, 2, configurationOf(2, "")); status != http.StatusOK {
			w.failf("configuration 2 got %d", status)
		}
		if replies.Load() < 100 {
			w.failf("%d odd replies", replies.Load())
		}
		listener.Close()
		client.Close()
		w.shutdown()
	})
}
