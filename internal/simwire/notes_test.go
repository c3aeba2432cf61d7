package simwire

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/logic"
)

// A peer's note reaches the module unchanged; a malformed one reaches it empty, and reading continues: a peer must not be
// able to stop this broker.
func TestNotesOnTheWire(t *testing.T) {
	for contents, want := range map[string][]byte{" contents=68692037": []byte("hi 7"), " contents=6": nil,
		" contents=zz": nil, "": nil, " contents=": {}} {
		in := "BEGIN_BATCH time=1\nNOTE_FROM brokerId=3 srcPeer=2" + contents + "\nYOUR_TURN\n"
		batch, err := NewReader(strings.NewReader(in)).Next()
		require.NoError(t, err)
		assert.Equal(t, logic.PeerNote, batch.Turns[0].Events[0].Kind)
		assert.Equal(t, len(want), len(batch.Turns[0].Events[0].Note), contents)
		assert.True(t, bytes.Equal(want, batch.Turns[0].Events[0].Note), contents)
	}
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	WriteAction(w, 3, logic.Action{Kind: logic.SendNote, Note: []byte("hi 7")})
	w.Flush()
	assert.Equal(t, "NOTIFY brokerId=3 peer=* contents=68692037\n", out.String())
}
