package memberstate

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"gullstair/internal/lease"
)

// A few bytes that announce billions of elements are rejected before anything is allocated: such a body caused an allocation of 200 GB.
func TestSizes(t *testing.T) {
	for name, b := range map[string][]byte{"array 32": {0xdd, 0x97, 0xa1, 0x78, 0xa0}, "array 16": {0xdc, 0xff, 0xff, 1}, "map": {0xdf, 0xff, 0xff, 0xff, 0xff},
		"bin": {0xc6, 0x10, 0, 0, 0, 1}, "str": {0xdb, 0x10, 0, 0, 0}, "nested": {0x92, 0x01, 0xdd, 0, 0, 1, 0, 1}, "empty": {}, "cut": {0x93, 1, 2}} {
		var e Envelope
		assert.ErrorIs(t, Unmarshal(b, &e), errSize, name)
	}
	all := map[string]any{"a": []any{1, -1, -200, 70000, uint64(1) << 60, 1.5, float32(2), true, nil, "x", make([]byte, 300), string(make([]byte, 40000))},
		"m": map[string]int{"k": 1}, "n": make([]int, 70000)}
	b, err := msgpack.Marshal(all)
	require.NoError(t, err)
	assert.NoError(t, checkSizes(b), "a complete message passes")
	want := Envelope{From: "a", To: "b", Leases: []lease.Message{{Kind: lease.Request, Lease: "x", Note: &lease.Note{Epoch: 1, Nth: 2, Data: make([]byte, 512)}}}}
	b, err = Marshal(&want)
	require.NoError(t, err)
	var got Envelope
	require.NoError(t, Unmarshal(b, &got))
	assert.Equal(t, want, got)
}
