package simulation

import (
	"pgregory.net/rapid"

	"gullstair/internal/virtual"
)

// drawnSplit partitions the network for a while. A draw assigns each member to one of the sides.
func drawnSplit(t *rapid.T, net *virtual.Net, members, sides int, forMs float64) {
	groups := make([][]string, sides)
	for i := range members {
		s := rapid.IntRange(0, sides-1).Draw(t, "side")
		groups[s] = append(groups[s], Name(i))
	}
	net.Split(groups...)
	net.After(forMs, func() { net.Split() })
}

// cutFor drops the messages from one member to another, in this direction only, for a while.
func cutFor(net *virtual.Net, from, to int, forMs float64) {
	net.Cut(Name(from), Name(to))
	net.After(forMs, func() { net.Heal(Name(from), Name(to)) })
}
