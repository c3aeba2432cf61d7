package cluster

import (
	"context"
	"slices"

	"gullstair/internal/dissemination"
	"gullstair/internal/lifecycle"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

// Delivery counts the brokers that have confirmed a record.
type Delivery struct {
	Confirmed int  // confirmations from other live brokers
	Alive     int  // other brokers that this one believes alive
	Quorum    bool // a majority of the register's voters, alive or not, has confirmed
}

// All reports whether every other live broker has confirmed.
func (t Delivery) All() bool { return t.Confirmed == t.Alive }

// confirmation is the outcome of a call to a voter, or of this broker's own part in the call.
type confirmation struct {
	ip     string
	known  bool // the broker has what was sent
	quorum bool // it counts towards the majority of the voters
}

// PublishAndConfirm disseminates a record and blocks until enough reports true, all calls have completed, or the
// context ends. It calls the voters whether they seem alive or not: a broker in a minority partition considers them
// dead, so a count of live brokers alone would be a statement about its own side of the partition.
func (n *Node) PublishAndConfirm(ctx context.Context, r dissemination.Record, enough func(Delivery) bool) Delivery {
	n.putWithoutPush([]dissemination.Record{r})
	return n.callAll(ctx, n.recordsMessage(r, false), enough)
}

// PublishAndStore is PublishAndConfirm for a record that must survive the end of all processes: only voters that have it
// on their disks count towards the majority.
func (n *Node) PublishAndStore(ctx context.Context, r dissemination.Record, enough func(Delivery) bool) Delivery {
	n.putWithoutPush([]dissemination.Record{r})
	return n.callAll(ctx, n.recordsMessage(r, true), enough)
}

func (n *Node) recordsMessage(r dissemination.Record, store bool) peerlink.Message {
	return peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Records: []dissemination.Record{r}, Store: store}}
}

// OnStore registers f to store records on this machine's disk, which calls of PublishAndStore request. f returns nil once
// they are durable. On a machine without a disk it is not called. It must be called before Run.
func (n *Node) OnStore(f func(context.Context, []dissemination.Record) error) { n.storeRecords = f }

// storeOnDisk stores records on this machine's disk and reports whether they are durable. It waits for at most
// diskBusyTimeout, so a peer learns in time that this broker has the records, if only in memory.
func (n *Node) storeOnDisk(ctx context.Context, records []dissemination.Record) bool {
	if n.storeRecords == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, diskBusyTimeout)
	defer cancel()
	err := n.storeRecords(ctx, records)
	if err != nil {
		n.logger.Info().Err(err).Int("records", len(records)).Msg("records are not stored on this machine's disk")
	}
	return err == nil
}

// callAll calls every voter directly and relays the call to the other live brokers.
func (n *Node) callAll(ctx context.Context, m peerlink.Message, enough func(Delivery) bool) Delivery {
	alive := n.otherAddresses()
	voters := n.otherVoters()
	others := slices.DeleteFunc(slices.Clone(alive), func(ip string) bool { return slices.Contains(voters, ip) })
	confirmations := make(chan confirmation, len(voters)+1)
	lifecycle.Go(func() { confirmations <- n.confirmSelf(ctx, m) })
	for _, ip := range voters {
		lifecycle.Go(func() { confirmations <- n.callConfirmed(ctx, m, ip) })
	}
	groups := n.relayTree().split(n.self.IP, others)
	relayed := make(chan int, len(groups))
	for _, group := range groups {
		lifecycle.Go(func() { relayed <- n.relayGroup(ctx, m, group) })
	}
	inQuorum := map[string]bool{}
	delivery := Delivery{Alive: len(alive)}
	for range 1 + len(voters) + len(groups) {
		if enough(delivery) {
			return delivery
		}
		select {
		case c := <-confirmations:
			if c.known && slices.Contains(alive, c.ip) {
				delivery.Confirmed++
			}
			inQuorum[c.ip] = c.quorum
			delivery.Quorum = n.quorum(inQuorum)
		case confirmed := <-relayed:
			delivery.Confirmed += confirmed
		case <-ctx.Done():
			return delivery
		}
	}
	return delivery
}

// confirmSelf is this broker's own part in a call to all brokers.
func (n *Node) confirmSelf(ctx context.Context, m peerlink.Message) confirmation {
	quorum := m.Records == nil || !m.Records.Store || n.storeOnDisk(ctx, m.Records.Records)
	return confirmation{ip: n.self.IP, known: true, quorum: quorum}
}

// callConfirmed makes a call. A reply without Lacks is a confirmation. If the call asks for records to be stored, the reply
// also has to say that they are; earlier releases never do.
func (n *Node) callConfirmed(ctx context.Context, m peerlink.Message, ip string) confirmation {
	reply, err := n.callWithRetry(ctx, m, ip)
	if err != nil || reply.Lacks {
		return confirmation{ip: ip}
	}
	return confirmation{ip: ip, known: true, quorum: reply.Stored || m.Records == nil || !m.Records.Store}
}

// answerRecords stores and serves records.
func (n *Node) answerRecords(m *peerlink.Message) *peerlink.Message {
	n.putAndPush(m.Records.Records, m.Records.From)
	n.scheduleFetch(m.Records.Offered, m.Records.From)
	reply := n.serveRecords(m.Records.Wanted, m.Has)
	if m.Records.Store {
		reply.Stored = n.storeOnDisk(context.Background(), m.Records.Records)
	}
	return reply
}

// otherAddresses returns the addresses of the other live brokers.
func (n *Node) otherAddresses() (out []string) {
	for _, member := range n.Members() {
		if member.IP != n.self.IP {
			out = append(out, member.IP)
		}
	}
	return out
}

// otherVoters returns the addresses of the other voters, whether they seem alive or not.
func (n *Node) otherVoters() []string {
	known, _ := n.Known()
	voters := known.Value.Members.Addresses()
	slices.Sort(voters)
	return slices.DeleteFunc(slices.Compact(voters), func(ip string) bool { return ip == n.self.IP })
}

// quorum reports whether the machines at these addresses form a majority of the voters, in both sets during a
// membership change.
func (n *Node) quorum(addresses map[string]bool) bool {
	known, _ := n.Known()
	return known.Value.Members.Majority(func(r register.Replica) bool { return addresses[r.Address] })
}
