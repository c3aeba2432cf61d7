package chunks

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRead(t *testing.T) {
	for _, size := range []int{0, 1, minChunk, minChunk + 1, 3 * minChunk, maxChunk, 5*maxChunk + 7} {
		want := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		for _, reader := range []io.Reader{bytes.NewReader(want), iotest.OneByteReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			got, err := Read(reader)
			require.NoError(t, err)
			assert.EqualValues(t, size, Size(got))
			assert.True(t, bytes.Equal(want, Join(got)), "%d bytes", size)
		}
	}
}

// TestReadOfDataThatBreakOff checks that data that end early are not taken for whole.
func TestReadOfDataThatBreakOff(t *testing.T) {
	for _, cause := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
		got, err := Read(io.MultiReader(bytes.NewReader(make([]byte, 700)), iotest.ErrReader(cause)))
		assert.ErrorIs(t, err, cause)
		assert.Nil(t, got)
	}
}
