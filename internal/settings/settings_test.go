package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("testdata/local.conf")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExample(t *testing.T) {
	s, err := Parse([]byte(example(t)))
	if err != nil {
		t.Fatal(err)
	}
	if s.NodeName != "front-a-1" || s.ListenFront != "10.1.0.37:8388" || s.PortFirst != 7560 || s.PortLast != 7575 ||
		!s.Bootstrap || !s.CountsForQuorum || s.MemoryMB != 244 || s.Heartbeat != 1200*time.Millisecond {
		t.Errorf("settings: %+v", s)
	}
	if got := strings.Join(s.SeedIPs(), " "); got != "10.1.0.37 10.2.0.8 10.3.0.24" {
		t.Errorf("seeds: %s", got)
	}
	if s.ZoneRegions["b"] != "r" || s.PeerAddress("10.9.9.9") != "10.9.9.9:7560" {
		t.Errorf("zones %v, peer address %s", s.ZoneRegions, s.PeerAddress("10.9.9.9"))
	}
	if b := s.Bounds; b.Drain != 2*time.Second || b.Grace != 8*time.Second || !b.Fencing || b.RetryBudgetRatio != 0.2 || b.RetryBudgetSlack != 58 {
		t.Errorf("bounds: %+v", b)
	}
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	if _, err := Parse([]byte(example(t) + "\nlater.field=x${y}\n")); err != nil {
		t.Error(err)
	}
}

func TestFindings(t *testing.T) {
	text := example(t)
	for old, new := range map[string]string{
		"node_name=front-a-1":         "node_name=",
		"listen.front=10.1.0.37:8388": "listen.front=10.1.0.37",
		"ephemeral_ports=7560,7575":   "ephemeral_ports=7575,7560",
		"seeds=10.1.0.37:8381":        "seeds=nowhere",
		"limits.memory_mb=244":        "limits.memory_mb=much",
		"bounds.fencing=true":         "bounds.fencing=perhaps",
		"bounds.drain_ms=2000":        "bounds.drain_ms=-1",
	} {
		text = strings.Replace(text, old, new, 1)
	}
	_, err := Parse([]byte(text))
	if err == nil {
		t.Fatal("the invalid settings are accepted")
	}
	goldie.New(t).Assert(t, "findings", []byte(strings.ReplaceAll(err.Error(), "; ", "\n")+"\n"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Add([]byte("a=b\nnode_name"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse(text); err == nil && (s.IP == "" || s.PortFirst < 1) {
			t.Fatalf("settings without an IP or ports are accepted: %+v", s)
		}
	})
}
