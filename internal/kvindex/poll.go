// Package kvindex keeps the table of package cachetable current: it polls instances and stores over HTTP for the parts of
// prompts that they cache, and encodes notes that share the results with other brokers.
package kvindex

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/cachetable"
	"gullstair/internal/upstream"
)

const (
	longPollMs     = 1000 // an instance without changes answers after this time
	callTimeout    = 3 * time.Second
	maxAnswerBytes = 8 << 20
)

// ErrChangesLost means that changes were missed and the complete list is needed.
var ErrChangesLost = errors.New("changes were missed")

// ErrBusy means that the instance has too many open calls to accept another one.
var ErrBusy = errors.New("the instance has too many open calls")

// ErrOtherInstance means that another instance answered at the address.
var ErrOtherInstance = errors.New("another instance answered")

// Changes are the changes in one answer: those between the positions From and To, or a complete list up to To.
type Changes struct {
	Epoch uint64
	From  uint64
	To    uint64
	List  []cachetable.Change
}

// Client requests changes and lists from instances and stores.
type Client struct{ pool *upstream.Pool }

// event is a change on the wire, a JSON array: number, "+" or "-", salt, id, tokens cached now, model.
type event struct {
	Salt   string
	ID     string
	Tokens float64
}

const eventFields = 6

// UnmarshalJSON parses the array of an event.
func (e *event) UnmarshalJSON(text []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	if len(fields) < eventFields-1 {
		return errors.Newf("an event has %d fields", len(fields))
	}
	var sign string
	for at, to := range map[int]any{1: &sign, 2: &e.Salt, 3: &e.ID, 4: &e.Tokens} {
		if err := json.Unmarshal(fields[at], to); err != nil {
			return errors.Wrapf(err, "field %d of an event", at)
		}
	}
	return nil
}

// cachedPart is a cached part on the wire, a JSON array: salt, id, tokens, model.
type cachedPart struct {
	Salt   string
	ID     string
	Tokens float64
}

// UnmarshalJSON parses the array of a part.
func (p *cachedPart) UnmarshalJSON(text []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	if len(fields) < 3 {
		return errors.Newf("a cached part has %d fields", len(fields))
	}
	for at, to := range map[int]any{0: &p.Salt, 1: &p.ID, 2: &p.Tokens} {
		if err := json.Unmarshal(fields[at], to); err != nil {
			return errors.Wrapf(err, "field %d of a cached part", at)
		}
	}
	return nil
}

// Events requests the changes after a position. It is a long poll: the instance answers when there are changes, or after
// longPollMs.
func (c *Client) Events(ctx context.Context, id, address string, epoch, since uint64) (Changes, error) {
	answer := struct {
		Epoch  uint64  `json:"epoch"`
		Next   uint64  `json:"next_page_token"`
		Lost   bool    `json:"lost"`
		Events []event `json:"events"`
	}{}
	if err := c.get(ctx, id, address, "/v1/kv-events?since="+strconv.FormatUint(since, 10), &answer); err != nil {
		return Changes{}, err
	}
	if answer.Lost || answer.Epoch != epoch {
		return Changes{}, ErrChangesLost
	}
	out := Changes{Epoch: answer.Epoch, From: since, To: answer.Next}
	for _, e := range answer.Events {
		out.List = append(out.List, cachetable.Change{Key: cachetable.KeyOf(e.Salt, e.ID), Tokens: e.Tokens})
	}
	return out, nil
}

// List requests the complete list of cached parts.
func (c *Client) List(ctx context.Context, id, address string) (Changes, error) {
	answer := struct {
		Epoch uint64       `json:"epoch"`
		Next  uint64       `json:"next_page_token"`
		Held  []cachedPart `json:"held"`
	}{}
	if err := c.get(ctx, id, address, "/v1/kv-list", &answer); err != nil {
		return Changes{}, err
	}
	out := Changes{Epoch: answer.Epoch, To: answer.Next}
	for _, h := range answer.Held {
		out.List = append(out.List, cachetable.Change{Key: cachetable.KeyOf(h.Salt, h.ID), Tokens: h.Tokens})
	}
	return out, nil
}

func (c *Client) get(ctx context.Context, instance, address, target string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{"Wait-Ms": {strconv.Itoa(longPollMs)}}
	if instance != "" {
		header.Set("X-Expect-Instance", instance)
	}
	response, _, err := c.pool.Send(ctx, address, &upstream.Request{Method: http.MethodGet, Target: target, Host: address, Header: header})
	if err != nil {
		return err
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		response.Discard()
	}
	switch {
	case response.Misdirected(instance):
		return ErrOtherInstance
	case response.Status == http.StatusTooManyRequests:
		return ErrBusy
	case response.Status != http.StatusOK:
		return errors.Newf("the instance answered %d", response.Status)
	}
	text, err := response.ReadAll(maxAnswerBytes)
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	return errors.Wrap(json.Unmarshal(text, into), "parse the answer")
}
