package config

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func startFile(t *testing.T) []byte {
	text, err := os.ReadFile("testdata/start.json")
	require.NoError(t, err)
	return text
}

func TestParse(t *testing.T) {
	env := map[string]string{"GW_NAME": "b9", "GW_LISTEN": "127.0.0.1:77"}
	cfg, err := Parse(startFile(t), func(k string) string { return env[k] })
	require.NoError(t, err)
	assert.Equal(t, "b9", cfg.Name, "a variable takes precedence over the file")
	assert.Equal(t, "127.0.0.1:77", cfg.Listen)
	assert.Equal(t, "127.0.0.1:1", cfg.Discovery)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), cfg.Seed)
	assert.Equal(t, [2]int{192, 1024}, [2]int{cfg.MemoryMB, cfg.Sockets})
	assert.EqualValues(t, 41, cfg.KnownList.Seq)
	assert.Len(t, cfg.KnownList.Hosts, 2)
	s := cfg.Site
	assert.Equal(t, [5]int{6, 4, 32, 3, 20}, [5]int{s.Shards, s.Batch, s.PartsPerConn, s.Dispatches, s.OpenCap})
	assert.Equal(t, [3]float64{5, 30000, 250}, [3]float64{s.Turn, s.ConnIdle, s.ConnectTimeout})
	assert.Equal(t, map[string]int{"west": 0, "east": 1}, s.Zones)
	assert.Equal(t, map[string]int{"report": 0, "board": 1, "fix": 2}, s.TypeIndex)
	assert.Equal(t, [3]any{2, true, 2500.0}, [3]any{s.Types[0].Fetch, s.Types[2].Keyed, s.Types[2].RepeatWindow})
	assert.Equal(t, 1500.0, cfg.Flat["tableType.1.target"])
}

// When the file is read again, its discovery address takes precedence over the variable, and RestartKeys names the
// changes that require a restart.
func TestReread(t *testing.T) {
	env := map[string]string{"GW_CONFIG": "testdata/start.json", "GW_DISCOVERY": "127.0.0.1:9", "GW_NAME": "b9"}
	first, err := Read(func(k string) string { return env[k] })
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:9", first.Discovery)
	again, err := Reread(func(k string) string { return env[k] })
	require.NoError(t, err)
	assert.Equal(t, [2]string{"127.0.0.1:1", "b9"}, [2]string{again.Discovery, again.Name})
	assert.Empty(t, first.RestartKeys(again))
	again.Name, again.Sockets, again.Flat = "b8", 7, nil
	assert.Equal(t, []string{"limits", "name", "settings"}, first.RestartKeys(again))
}

// Each error names the invalid key.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		path  []string // of the key to change
		value any      // nil: the key is removed
		want  string   // "": no error
	}{
		"no name":              {[]string{"name"}, nil, "name"},
		"a name of wrong type": {[]string{"name"}, 7, "name"},
		"no listen":            {[]string{"listen"}, nil, "listen"},
		"listen without port":  {[]string{"listen"}, "127.0.0.1", "listen"},
		"no discovery":         {[]string{"discovery"}, "", "discovery"},
		"no seed":              {[]string{"seed"}, nil, "seed"},
		"seed not hex":         {[]string{"seed"}, "xyz", "seed"},
		"seed too long":        {[]string{"seed"}, "8c1f30d27a5be9641", "seed"},
		"memory not a number":  {[]string{"limits", "memory_mb"}, "much", "limits.memory_mb"},
		"memory too little":    {[]string{"limits", "memory_mb"}, 1, "limits.memory_mb"},
		"sockets below zero":   {[]string{"limits", "sockets"}, -1, "limits.sockets"},
		"no cores":             {[]string{"limits", "cores"}, 0, "limits.cores"},
		"limits of wrong type": {[]string{"limits"}, []int{1}, "limits"},
		"no limits":            {[]string{"limits"}, nil, ""},
		"no known list":        {[]string{"known"}, nil, ""},
		"known of wrong type":  {[]string{"known", "hosts"}, 4, "known"},
		"no settings":          {[]string{"settings"}, nil, "settings"},
		"settings not object":  {[]string{"settings"}, "x", "settings"},
		"no table types":       {[]string{"settings", "classes"}, nil, "tableType.count"},
		"no shards":            {[]string{"settings", "familyInfo", "slices"}, 0, "layout.shards"},
		"turn of wrong type":   {[]string{"settings", "granularity"}, "5", "turn"},
		"a budget below zero":  {[]string{"settings", "rules"}, map[string]any{"extraPerRequest": -0.1}, "rules.spareShare"},
		"a budget of text":     {[]string{"settings", "rules"}, map[string]any{"budgetWindow": "5s"}, "rules.budgetWindow"},
		"asking below zero":    {[]string{"settings", "rules"}, map[string]any{"askWithin": -1}, "rules.askWithin"},
		"peers not boolean":    {[]string{"settings", "ceilings", "peers"}, "yes", "limit.peers"},
		"copies not boolean":   {[]string{"settings", "ceilings", "parallelTries"}, 1, "limit.secondCopies"},
		"unknown keys":         {[]string{"settings", "unheardOf"}, map[string]any{"a": []any{nil}}, ""},
	} {
		var tree map[string]any
		require.NoError(t, json.Unmarshal(startFile(t), &tree))
		at := tree
		for _, key := range c.path[:len(c.path)-1] {
			at = at[key].(map[string]any)
		}
		last := c.path[len(c.path)-1]
		if at[last] = c.value; c.value == nil {
			delete(at, last)
		}
		text, err := json.Marshal(tree)
		require.NoError(t, err)
		_, err = Parse(text, func(string) string { return "" })
		if c.want == "" {
			assert.NoError(t, err, name)
		} else {
			assert.ErrorContains(t, err, c.want, name)
		}
	}
	_, err := Parse([]byte("[1"), func(string) string { return "" })
	assert.ErrorContains(t, err, "not a JSON object")
	_, err = Read(func(string) string { return "" })
	assert.ErrorContains(t, err, "GW_CONFIG")
	_, err = Read(func(string) string { return "testdata/none.json" })
	assert.ErrorContains(t, err, "GW_CONFIG")
}

// Settings that this program does not support are disabled and reported: the module would rely on notes that are never
// delivered.
func TestNotesAreOff(t *testing.T) {
	noEnv := func(string) string { return "" }
	for peers, disabled := range map[string]int{`"peers": false`: 0, `"peers": true`: 1} {
		cfg, err := Parse([]byte(strings.Replace(string(startFile(t)), `"peers": false`, peers, 1)), noEnv)
		require.NoError(t, err)
		assert.Equal(t, false, cfg.Flat["limit.peers"])
		if assert.Len(t, cfg.DisabledSettings, disabled, peers); disabled > 0 {
			assert.Contains(t, cfg.DisabledSettings[0], "ceilings.peers")
		}
	}
}
