package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestServe(t *testing.T) {
	const launch = "LAUNCH brokerId=1 prng=1 options={}\n"
	for _, c := range []struct{ name, in, out, err string }{
		{"empty batch", "BEGIN_BATCH time=1\nYOUR_TURN\n", "END\n", ""},
		{"no input", "", "", ""},
		{"invalid settings end the instance, not the process", "BEGIN_BATCH time=1\n" + launch + "YOUR_TURN\n",
			"FATAL brokerId=1 bodyText=start setting turn is missing or invalid: <nil>\nEND\n", ""},
		{"a stopped instance does nothing", "BEGIN_BATCH time=1\n" + launch + "STOP brokerId=1\nYOUR_TURN\n", "END\n", ""},
		{"malformed", "BEGIN_BATCH time=1\nYOUR_TURN\n\nBEGIN_BATCH time=x\n", "END\n", "line 4"},
	} {
		var out bytes.Buffer
		err := serve(strings.NewReader(c.in), &out)
		assert.Equal(t, c.out, out.String(), c.name)
		if c.err == "" {
			assert.NoError(t, err, c.name)
		} else {
			assert.ErrorContains(t, err, c.err, c.name)
		}
	}
}
