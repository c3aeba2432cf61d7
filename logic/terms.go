package logic

import (
	"fmt"
	"math/bits"
)

// terms is what the site states at start: names to values. fault notes the first one that is missing.
type terms struct {
	stated map[string]any
	fault  string
}

// num reads a number; one that is not stated is 0.
func (t *terms) num(name string) float64 {
	x, _ := t.stated[name].(float64)
	return x
}

// flag reads a yes or no; one that is not stated is no.
func (t *terms) flag(name string) bool {
	on, _ := t.stated[name].(bool)
	return on
}

// need reads a number that cannot be done without or be under least.
func (t *terms) need(name string, least float64) float64 {
	x, ok := t.stated[name].(float64)
	if (!ok || !(x >= least && x <= 1e9)) && t.fault == "" {
		t.fault = fmt.Sprintf("start setting %s is missing or impossible: %v", name, t.stated[name])
	}
	return x
}

// pcg is a permuted congruential generator (PCG-XSH-RR).
type pcg struct{ state uint64 }

// seeded starts the generator; two steps spread seeds that lie close together.
func seeded(seed uint64) pcg {
	c := pcg{}
	c.float()
	c.state += seed
	c.float()
	return c
}

// float draws a number from 0 up to 1.
func (c *pcg) float() float64 {
	old := c.state
	c.state = old*6364136223846793005 + 1442695040888963407
	x := bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
	return float64(x) / (1 << 32)
}

// within drops what is older than limit from a list of times with amounts.
func within(list [][2]float64, limit float64) [][2]float64 {
	for len(list) > 0 && list[0][0] <= limit {
		list = list[1:]
	}
	return list
}

// zonePrice is what a call to another zone weighs, as a share of the target time.
func (t *terms) zonePrice() float64 {
	if t.flag("prices.zonesUntold") {
		return zoneWeighs
	}
	return t.num("prices.crossZone")
}
