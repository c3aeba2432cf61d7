// Package kvindex keeps the holder table current: it polls instances and stores for what they keep.
package kvindex

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/holders"
	"gullstair/internal/upstream"
)

const (
	waitMs      = 1000 // an instance holds a call for changes so long
	callTimeout = 3 * time.Second
	mostAnswer  = 8 << 20
)

// ErrLost says that changes were missed and the whole list is needed.
var ErrLost = errors.New("changes were missed")

// ErrBusy says that the instance holds as many calls as it takes.
var ErrBusy = errors.New("the instance holds too many calls")

// ErrAnother says that another instance answered at the address.
var ErrAnother = errors.New("another instance answered")

// Changes are what an instance told in one answer.
type Changes struct {
	Epoch uint64
	From  uint64
	To    uint64
	List  []holders.Change
}

// Client asks instances.
type Client struct{ pool *upstream.Pool }

// event is one change on the wire: number, + or -, salt, id, tokens kept now, model.
type event struct {
	Salt   string
	ID     string
	Tokens float64
}

const eventFields = 6

// UnmarshalJSON reads an event's array.
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

// held is one part on the wire: salt, id, tokens, model.
type held struct {
	Salt   string
	ID     string
	Tokens float64
}

// UnmarshalJSON reads a part's array.
func (h *held) UnmarshalJSON(text []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	if len(fields) < 3 {
		return errors.Newf("a kept part has %d fields", len(fields))
	}
	for at, to := range map[int]any{0: &h.Salt, 1: &h.ID, 2: &h.Tokens} {
		if err := json.Unmarshal(fields[at], to); err != nil {
			return errors.Wrapf(err, "field %d of a kept part", at)
		}
	}
	return nil
}

// Events asks for the changes after a position. The call is held until there are some.
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
		return Changes{}, ErrLost
	}
	out := Changes{Epoch: answer.Epoch, From: since, To: answer.Next}
	for _, e := range answer.Events {
		out.List = append(out.List, holders.Change{Key: holders.KeyOf(e.Salt, e.ID), Tokens: e.Tokens})
	}
	return out, nil
}

// List asks for all that is kept.
func (c *Client) List(ctx context.Context, id, address string) (Changes, error) {
	answer := struct {
		Epoch uint64 `json:"epoch"`
		Next  uint64 `json:"next_page_token"`
		Held  []held `json:"held"`
	}{}
	if err := c.get(ctx, id, address, "/v1/kv-list", &answer); err != nil {
		return Changes{}, err
	}
	out := Changes{Epoch: answer.Epoch, To: answer.Next}
	for _, h := range answer.Held {
		out.List = append(out.List, holders.Change{Key: holders.KeyOf(h.Salt, h.ID), Tokens: h.Tokens})
	}
	return out, nil
}

func (c *Client) get(ctx context.Context, instance, address, target string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{"Wait-Ms": {strconv.Itoa(waitMs)}}
	if instance != "" {
		header.Set("X-Expect-Instance", instance)
	}
	response, _, err := c.pool.Send(ctx, address, &upstream.Request{Method: http.MethodGet, Target: target, Host: address, Header: header})
	if err != nil {
		return err
	}
	defer response.Close()
	text, err := io.ReadAll(io.LimitReader(response, mostAnswer))
	switch {
	case err != nil:
		return errors.Wrap(err, "read the answer")
	case response.FromAnother(instance):
		return ErrAnother
	case response.Status == http.StatusTooManyRequests:
		return ErrBusy
	case response.Status != http.StatusOK:
		return errors.Newf("the instance answered %d", response.Status)
	}
	return errors.Wrap(json.Unmarshal(text, into), "read what is kept")
}
