package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func observed(whole int, largest int64) *Detector {
	d := New()
	for range whole {
		d.Whole("r", "sound", largest)
	}
	return d
}

// TestAnswersWithoutEndEjectTheirServer: several answers of one server far beyond all whole ones, and no whole one between.
func TestAnswersWithoutEndEjectTheirServer(t *testing.T) {
	d := observed(wholeAnswers, 100<<10)
	assert.False(t, d.Exceeds("r", sizeFactor*100<<10))
	assert.True(t, d.Exceeds("r", sizeFactor*100<<10+1))
	assert.False(t, d.Outlier("faulty"))
	assert.False(t, d.Outlier("faulty"))
	assert.False(t, d.Outlier("other"), "each server counts by itself")
	assert.True(t, d.Outlier("faulty"))
	assert.True(t, d.Outlier("faulty"), "each further one")
}

// TestLargeSoundAnswersEjectNobody: a large answer that comes to its end, among small ones.
func TestLargeSoundAnswersEjectNobody(t *testing.T) {
	d := observed(wholeAnswers, 1<<10)
	assert.False(t, d.Exceeds("r", minBytes), "no answer of this size is an outlier")
	for range 5 {
		d.Outlier("s")
		assert.False(t, d.Outlier("s"))
		d.Whole("r", "s", 300<<20)
	}
	assert.False(t, d.Exceeds("r", sizeFactor*300<<20), "the largest whole answer counts")
}

func TestNothingIsAnOutlierBeforeWholeAnswers(t *testing.T) {
	assert.False(t, New().Exceeds("r", 1<<40))
	assert.False(t, observed(wholeAnswers-1, 1).Exceeds("r", 1<<40))
	assert.False(t, observed(wholeAnswers, 1).Exceeds("other", 1<<40))
}

func TestForgotten(t *testing.T) {
	d := observed(wholeAnswers, 1)
	d.Outlier("s")
	d.RetainServers(func(name string) bool { return name != "s" })
	d.RetainRoutes(func(name string) bool { return name != "r" })
	assert.False(t, d.Exceeds("r", 1<<40))
	d.Outlier("s")
	assert.False(t, d.Outlier("s"))
}
