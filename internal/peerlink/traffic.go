package peerlink

import "sync/atomic"

// Kind says what calls and replies between brokers are about.
type Kind int

const (
	Exchanges     Kind = iota // reconciliation: digests and headings
	Spreading                 // records, and those that are asked for
	Rounds                    // of the register
	Announcements             // of its chosen values
	Others                    // replies that say nothing else, and the founding
	kinds
)

// String names the kind as the status page does.
func (k Kind) String() string {
	return [...]string{"exchanges", "spreading", "rounds", "announcements", "others"}[k]
}

// kind is what a message is about.
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

// Traffic counts what one broker sends to others and gets from them. All its connections share it.
type Traffic struct{ sent, received [kinds]counter }

// Count is what was sent and received of one kind.
type Count struct {
	Kind          string `json:"kind"`
	Sent          int64  `json:"sent"`
	SentBytes     int64  `json:"sent_bytes"`
	Received      int64  `json:"received"`
	ReceivedBytes int64  `json:"received_bytes"`
}

// Counts lists all kinds.
func (t *Traffic) Counts() []Count {
	var out []Count
	for k := range kinds {
		sent, received := &t.sent[k], &t.received[k]
		out = append(out, Count{Kind: k.String(), Sent: sent.messages.Load(), SentBytes: sent.bytes.Load(),
			Received: received.messages.Load(), ReceivedBytes: received.bytes.Load()})
	}
	return out
}
