package trial

import (
	"pgregory.net/rapid"

	"gullstair/internal/virtual"
)

// drawnSplit puts each member on one of so many sides, by a draw, for a while.
func drawnSplit(t *rapid.T, net *virtual.Net, members, sides int, forMs float64) {
	groups := make([][]string, sides)
	for i := range members {
		s := rapid.IntRange(0, sides-1).Draw(t, "side")
		groups[s] = append(groups[s], Name(i))
	}
	net.Split(groups...)
	net.After(forMs, func() { net.Split() })
}

// cutFor stops what one member sends to another, one way, for a while.
func cutFor(net *virtual.Net, from, to int, forMs float64) {
	net.Cut(Name(from), Name(to))
	net.After(forMs, func() { net.Heal(Name(from), Name(to)) })
}
