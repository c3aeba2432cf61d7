package peerlink

import "sync/atomic"

// Kind classifies the messages between brokers for the traffic counters.
type Kind int

const (
	Exchanges     Kind = iota // reconciliation: digests and headings
	Spreading                 // records sent, requested or offered
	Rounds                    // consensus rounds of the register
	Announcements             // announcements of chosen values
	Others                    // replies without content, and the founding
	kindCount
)

// String returns the name that the status page shows.
func (k Kind) String() string {
	return [...]string{"exchanges", "spreading", "rounds", "announcements", "others"}[k]
}

// kind returns the kind of a message.
func (m *Message) kind() Kind {
	switch {
	case m.Digest != nil || m.Headings != nil:
		return Exchanges
	case m.Records != nil:
		return Spreading
	case m.Prepare != nil || m.Promise != nil || m.Accept != nil || m.Accepted != nil || m.Delta != nil || m.Patched != nil:
		return Rounds
	case m.Announced != nil:
		return Announcements
	}
	return Others
}

// counter counts messages and their bytes.
type counter struct{ messages, bytes atomic.Int64 }

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(int64(bytes))
}

// Traffic counts what one broker sends to others and receives from them. All its connections share it.
type Traffic struct{ sent, received [kindCount]counter }

// Count holds the counters of one kind.
type Count struct {
	Kind          string `json:"kind"`
	Sent          int64  `json:"sent"`
	SentBytes     int64  `json:"sent_bytes"`
	Received      int64  `json:"received"`
	ReceivedBytes int64  `json:"received_bytes"`
}

// Counts returns the counters of all kinds.
func (t *Traffic) Counts() []Count {
	var out []Count
	for k := range kindCount {
		sent, received := &t.sent[k], &t.received[k]
		out = append(out, Count{Kind: k.String(), Sent: sent.messages.Load(), SentBytes: sent.bytes.Load(),
			Received: received.messages.Load(), ReceivedBytes: received.bytes.Load()})
	}
	return out
}
