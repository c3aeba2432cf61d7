package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/balance"
)

// TestAnswersThatHaveBegunAreNotRecalled: the module takes a long answer for a silent instance, and no other attempt can
// replace an answer that the client has the start of.
func TestAnswersThatHaveBegunAreNotRecalled(t *testing.T) {
	x := newExchange()
	ctx, cancel := x.beginAttempt(t.Context())
	defer cancel()
	require.True(t, x.beginAnswer())
	x.deliver(balance.Command{Kind: balance.CancelAttempt})
	assert.NoError(t, ctx.Err())
	recalled, _ := x.endAttempt()
	assert.False(t, recalled)
	ctx, cancel = x.beginAttempt(t.Context())
	defer cancel()
	x.deliver(balance.Command{Kind: balance.CancelAttempt})
	assert.Error(t, ctx.Err())
	assert.False(t, x.beginAnswer(), "it was recalled before it began")
}
