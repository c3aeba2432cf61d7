package logic

import (
	"fmt"
	"math/bits"
)

// settings holds the settings of a deployment by name. fault describes the first one that is missing or invalid.
type settings struct {
	values map[string]any
	fault  string
}

// num returns a number, or 0 if it is not set.
func (t *settings) num(name string) float64 {
	x, _ := t.values[name].(float64)
	return x
}

// flag returns a boolean, or false if it is not set.
func (t *settings) flag(name string) bool {
	on, _ := t.values[name].(bool)
	return on
}

// require returns a number, and sets fault if it is missing, less than least or above 1e9.
func (t *settings) require(name string, least float64) float64 {
	x, ok := t.values[name].(float64)
	if (!ok || !(x >= least && x <= 1e9)) && t.fault == "" {
		t.fault = fmt.Sprintf("start setting %s is missing or invalid: %v", name, t.values[name])
	}
	return x
}

// pcg is a permuted congruential generator (PCG-XSH-RR).
type pcg struct{ state uint64 }

// newPCG returns a generator for a seed. Two steps separate the sequences of neighboring seeds.
func newPCG(seed uint64) pcg {
	c := pcg{}
	c.float()
	c.state += seed
	c.float()
	return c
}

// float returns a random number in [0, 1).
func (c *pcg) float() float64 {
	old := c.state
	c.state = old*6364136223846793005 + 1442695040888963407
	x := bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
	return float64(x) / (1 << 32)
}

// dropUntil removes the entries up to time limit from the front of a list of times and amounts.
func dropUntil(list [][2]float64, limit float64) [][2]float64 {
	for len(list) > 0 && list[0][0] <= limit {
		list = list[1:]
	}
	return list
}

// zonePrice is the cost of a call to another zone, as a share of the target time.
func (t *settings) zonePrice() float64 {
	if t.flag("prices.zonesUntold") {
		return defaultZonePrice
	}
	return t.num("prices.crossZone")
}
