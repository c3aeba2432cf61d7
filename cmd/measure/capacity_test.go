package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMeasureCore checks that the measured core serves the queries, and costs more with a longer list.
func TestMeasureCore(t *testing.T) {
	small, err := measureCore(30, 50)
	require.NoError(t, err)
	large, err := measureCore(900, 50)
	require.NoError(t, err)
	assert.Greater(t, large.listKB, 2*small.listKB)
	assert.Greater(t, large.wholeMs, small.wholeMs)
	assert.Positive(t, small.queryUs)
	assert.Positive(t, small.openKB)
}

func TestMeasureMap(t *testing.T) {
	bytes, ns := measureMap(100000)
	assert.Greater(t, bytes, 16.0, "an entry needs at least the size of a key and a value")
	assert.Positive(t, ns)
}
