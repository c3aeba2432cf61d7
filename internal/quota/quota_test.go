package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func half() float64 { return 0.5 }

func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits Limits
		before int // scans admitted before, of the same tenant
		want   Reason
		after  float64
	}{
		{"no limit", Limits{}, 5, Admitted, 0},
		{"the cell's rate", Limits{Rate: 10, Burst: 2}, 2, CellRate, 125},
		{"the tenant's rate", Limits{TenantRate: 4, TenantBurst: 1}, 1, TenantRate, 312.5},
		{"open scans", Limits{Open: 3}, 3, CellOpen, 41.666},
		{"outstanding work", Limits{Work: 25}, 2, CellWork, 25},
	} {
		k := New(0, 1000, map[string]Limits{"a": c.limits}, half)
		for range c.before {
			require.Equal(t, Admitted, k.Admit(1000, "a", "t", Request{Work: 10}).Reason, c.name)
		}
		v := k.Admit(1000, "a", "t", Request{Work: 10})
		assert.Equal(t, c.want, v.Reason, c.name)
		assert.InDelta(t, c.after, v.RetryAfter, 0.01, c.name)
	}
	k := New(10, 0, map[string]Limits{"a": {Rate: 1}}, half)
	k.Admit(0, "a", "t", Request{Work: 1})
	assert.Equal(t, Verdict{CellRate, 0}, k.Admit(0, "a", "t", Request{Work: 1}), "no retry time if the settings allow none")
	assert.Equal(t, TooMany, k.Admit(0, "b", "t", Request{Work: 1}).Reason, "no such cell")
	assert.Equal(t, Admitted, k.Admit(1000, "a", "t", Request{Work: 1}).Reason, "a second later")
}

// A tenant with unlimited demand cannot take the share of other tenants in its cell, nor a cell the share of other cells.
func TestAbuse(t *testing.T) {
	k := New(100, 500, map[string]Limits{"bad": {}, "good": {}}, half)
	taken := 0
	for range 1000 {
		if k.Admit(0, "bad", "abuser", Request{Work: 1}).Reason == Admitted {
			taken++
		}
	}
	assert.Greater(t, taken, 50, "idle capacity is lent")
	for i := range 12 {
		assert.Equal(t, Admitted, k.Admit(1, "good", fmt.Sprint(i%4), Request{Work: 1}).Reason, "scan %d of the other cell", i)
	}
	// As the abuser's scans end the share returns to the other cell, although the abuser continues to send scans.
	for i := range 200 {
		k.ScanEnded(2, "bad", "abuser", Request{Work: 1}, 100)
		k.Admit(2, "good", fmt.Sprint(i%4), Request{Work: 1})
		k.Admit(2, "bad", "abuser", Request{Work: 1})
	}
	assert.GreaterOrEqual(t, k.Views()[1].Open, 45, "%+v", k.Views())
}

func TestRetries(t *testing.T) {
	k := New(0, 0, map[string]Limits{"a": {RetryShare: 0.1, RetrySpare: 3}, "free": {}}, half)
	count := func() (n int) {
		for range 100 {
			if k.Retry("a") {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 3, count())
	for range 20 {
		k.DispatchCompleted("a")
	}
	assert.InDelta(t, 2, count(), 1, "a tenth of what completed")
	for range 1000 {
		k.DispatchCompleted("a")
	}
	assert.Equal(t, 3, count(), "at most RetrySpare accumulates")
	assert.True(t, k.Retry("free"))
	assert.False(t, k.Retry("nobody"))
}

// Property test: the broker's capacity is never exceeded, no cell is refused within its reserve, rates hold over any
// interval, and no state of idle tenants remains.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(8, 60).Draw(t, "most")
		cells := map[string]Limits{}
		for i := range rapid.IntRange(1, 4).Draw(t, "cells") {
			cells[fmt.Sprint("c", i)] = Limits{Weight: float64(rapid.IntRange(1, 3).Draw(t, "weight")),
				Rate: rapid.SampledFrom([]float64{0, 50}).Draw(t, "rate"), Burst: 10}
		}
		k := New(most, 1000, cells, half)
		type open struct{ cell, who string }
		var all []open
		taken := map[string][]float64{}
		now := 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Float64Range(0, 30).Draw(t, "wait")
			if len(all) > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				k.ScanEnded(now, all[i].cell, all[i].who, Request{Work: 5}, 50)
				all = append(all[:i], all[i+1:]...)
				continue
			}
			name := fmt.Sprint("c", rapid.IntRange(0, len(cells)-1).Draw(t, "cell"))
			who := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "tenant"))
			c := k.cells[name]
			within := c.open < k.reserve(c)
			v := k.Admit(now, name, who, Request{Work: 5})
			if v.Reason == Admitted {
				all = append(all, open{name, who})
				taken[name] = append(taken[name], now)
			} else if within && v.Reason == BrokerOpen {
				t.Fatalf("%s was refused within its reserve", name)
			}
			if len(all) > most {
				t.Fatalf("%d scans open, capacity %d", len(all), most)
			}
			if at := taken[name]; cells[name].Rate > 0 {
				for i := range at {
					if n := len(at) - i; float64(n) > 10+(now-at[i])*cells[name].Rate/1000+1.001 {
						t.Fatalf("%s: %d admitted within %v ms", name, n, now-at[i])
					}
				}
			}
		}
		for _, o := range all {
			k.ScanEnded(now, o.cell, o.who, Request{Work: 5}, 50)
		}
		k.EvictIdle(now + 2*tenantIdle)
		for _, v := range k.Views() {
			if v.Open != 0 || v.Work != 0 || v.Tenants != 0 {
				t.Fatalf("state remains after eviction: %+v", v)
			}
		}
	})
}

// BenchmarkTake measures a decision without shared limits, for comparison with BenchmarkTake of package limitshare.
func BenchmarkTake(b *testing.B) {
	c := New(1000, 1000, map[string]Limits{"c": {Rate: 1e9, Burst: 1e9, Open: 1e6}}, func() float64 { return 0.5 })
	now := 10_000.0
	b.ReportAllocs()
	for b.Loop() {
		now += 0.01
		c.Admit(now, "c", "tenant", Request{Work: 10})
		c.ScanEnded(now, "c", "tenant", Request{Work: 10}, 1)
	}
}
