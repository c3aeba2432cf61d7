package voters_test

import (
	"testing"
	"time"

	"gullstair/internal/register"
	"gullstair/internal/voters"
)

// TestUpToDate compares what a replica holds with a chosen value. It guards against calling a replica lagging for ever that
// holds the value under the ballot of an earlier confirmation.
func TestUpToDate(t *testing.T) {
	ballot := func(counter uint64) register.Ballot { return register.Ballot{Counter: counter} }
	chosen := voters.Version{Ballot: ballot(8), Sequence: 5}
	for name, test := range map[string]struct {
		held voters.Version
		want voters.Health
	}{
		"the same":                          {chosen, voters.Healthy},
		"a later value":                     {voters.Version{Ballot: ballot(9), Sequence: 6}, voters.Healthy},
		"confirmed later":                   {voters.Version{Ballot: ballot(9), Sequence: 5}, voters.Healthy},
		"confirmed earlier":                 {voters.Version{Ballot: ballot(7), Sequence: 5}, voters.Healthy},
		"an earlier value":                  {voters.Version{Ballot: ballot(7), Sequence: 4}, voters.Lagging},
		"no value":                          {voters.Version{}, voters.Lagging},
		"an earlier release, same ballot":   {voters.Version{Ballot: ballot(8)}, voters.Healthy},
		"an earlier release, lesser ballot": {voters.Version{Ballot: ballot(7)}, voters.Lagging},
	} {
		t.Run(name, func(t *testing.T) {
			detector := voters.NewFailureDetector(catchUp)
			replica, now := register.Replica{Address: "a", Disk: 2}, time.Unix(0, 0)
			detector.RecordChosen(chosen, now)
			detector.RecordAnswer(replica, test.held, now)
			if got := detector.Health(replica, false, now); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
