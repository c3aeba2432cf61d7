package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/clientbudget"
	"gullstair/internal/clientlimit"
	"gullstair/internal/upstream"
)

// streamOf forwards a stream that arrives in pieces of random sizes and returns what the client got.
func streamOf(t *testing.T, r *rand.Rand, text string, account *clientlimit.Account) (got string, a *answer, err error) {
	t.Helper()
	writer := &sink{header: http.Header{}}
	a = &answer{writer: writer, stream: true, resumable: true, length: -1}
	transfer := &transfer{response: &upstream.Response{Status: http.StatusOK, Length: -1}, account: account}
	pending := &pendingEvents{account: account, limit: heldEventBytes}
	defer pending.release()
	for rest := []byte(text); len(rest) > 0 && err == nil; {
		n := min(len(rest), 1+r.IntN(copyBuffer))
		if r.IntN(4) == 0 {
			n = min(len(rest), 1+r.IntN(3))
		}
		err = a.addEvents(transfer, pending, rest[:n], false)
		rest = rest[n:]
		require.LessOrEqual(t, len(pending.text), heldEventBytes+copyBuffer, "bytes held")
	}
	if err == nil {
		err = a.finishEvents(transfer.response, pending.text)
	}
	return writer.String(), a, err
}

// TestEventsOfAnySizeArriveWhole: small and large events in pieces of any size, with room for what is held and without.
func TestEventsOfAnySizeArriveWhole(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 0))
		text, newline := "", []string{"\n", "\r\n"}[r.IntN(2)]
		for n := 1; n <= 6; n++ {
			size := []int{1, 100, smallEventBytes, heldEventBytes, 3 * heldEventBytes}[r.IntN(5)]
			text += fmt.Sprintf("id: %d%sdata: %s%s%s", n, newline, strings.Repeat("id: 99 ", 1+size/7), newline, newline)
		}
		text += "id: 7\ndata: last\n\n"
		var account *clientlimit.Account
		if seed%2 == 0 {
			account, _ = clientlimit.New(int64(seed)<<10, 100).Open(clientbudget.Amount{}, false, nil)
		}
		got, a, err := streamOf(t, r, text, account)
		require.NoError(t, err, "seed %d", seed)
		require.Equal(t, text, got, "seed %d", seed)
		require.Equal(t, "7", a.lastSentID, "seed %d", seed)
	}
}

// TestStreamsCutWithinALargeEventAreNotResumed: the client has the start of an event, which no other attempt can continue.
func TestStreamsCutWithinALargeEventAreNotResumed(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	_, a, err := streamOf(t, r, "id: 1\ndata: x\n\nid: 2\ndata: "+strings.Repeat("x", 2*heldEventBytes), nil)
	require.NoError(t, err)
	assert.True(t, a.committed())
	assert.Equal(t, "1", a.lastSentID)
}

// TestEventsWithoutEndAreGivenUp: a stream that completes no event.
func TestEventsWithoutEndAreGivenUp(t *testing.T) {
	for _, piece := range []string{"x", "data: 12\n", "data: " + strings.Repeat("x", 20000) + "\n"} {
		_, _, err := streamOf(t, rand.New(rand.NewPCG(1, 2)), strings.Repeat(piece, 1+(maxEventBytes+2*copyBuffer)/len(piece)), nil)
		require.ErrorIs(t, err, errEventTooLarge)
	}
}
