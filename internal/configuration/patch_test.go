package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"gullstair/internal/inputerrors"
)

// document is a configuration as an operator writes it, with a field that the program does not know.
type document struct {
	Version  int64            `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Tenants  []map[string]any `json:"tenants"`
	Limits   map[string]any   `json:"limits"`
	Unknown  string           `json:"unknown_to_this_program"`
}

func routeNamed(name, service string, timeout int) map[string]any {
	return map[string]any{"name": name, "host": "<" + name + ">.example", "path_prefix": "/x/", "kind": "safe", "timeout_ms": timeout,
		"service": service, "public": false, "later_field": map[string]any{"a": 1.5}}
}

func (d *document) lists() map[string]*[]map[string]any {
	return map[string]*[]map[string]any{"routes": &d.Routes, "services": &d.Services, "tenants": &d.Tenants}
}

func unmarshalAs[T any](t *testing.T, raw []byte) T {
	t.Helper()
	var out T
	if err := json.Unmarshal(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func marshal(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestPatchMatchesReference applies random sequences of patches. After each one the configuration must equal, field for field, a plain
// document with the same changes, including fields that the program does not know.
func TestPatchMatchesReference(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		want := document{Version: 1, Limits: map[string]any{"max_body_bytes": 4096.0}, Unknown: "a & b"}
		for i := range 5 {
			service := fmt.Sprint("s", i)
			want.Services = append(want.Services, map[string]any{"name": service, "health_check": "/h", "tls": false})
			want.Routes = append(want.Routes, routeNamed(fmt.Sprint("r", i), service, 100))
			want.Tenants = append(want.Tenants, map[string]any{"name": fmt.Sprint("t", i), "api_keys": []string{fmt.Sprint("k", i)}})
		}
		raw := marshal(t, want)
		for step := range 40 {
			upsert, remove := map[string][]map[string]any{}, map[string][]string{}
			version := want.Version + 1 + int64(rng.IntN(3))
			for _, list := range []string{"routes", "tenants"} {
				for _, at := range rng.Perm(8)[:rng.IntN(5)] {
					name := fmt.Sprint(list[:1], at)
					if rng.IntN(3) == 0 {
						remove[list] = append(remove[list], name)
						continue
					}
					changed := routeNamed(name, fmt.Sprint("s", rng.IntN(5)), 1+rng.IntN(1000))
					if list == "tenants" {
						changed = map[string]any{"name": name, "api_keys": []string{fmt.Sprintf("%s-%d-%d", name, step, rng.IntN(3))}}
					}
					upsert[list] = append(upsert[list], changed)
				}
				applyReference(want.lists()[list], upsert[list], remove[list])
			}
			want.Version = version
			patch, err := ParsePatch(marshal(t, map[string]any{"version": version, "upsert": upsert, "remove": remove}))
			if err != nil {
				t.Fatalf("seed %d step %d: %v", seed, step, err)
			}
			c, err := patch.Apply(raw)
			if err != nil {
				t.Fatalf("seed %d step %d: %v", seed, step, err)
			}
			raw = c.Raw
			if got, expected := unmarshalAs[any](t, raw), unmarshalAs[any](t, marshal(t, want)); !reflect.DeepEqual(got, expected) {
				t.Fatalf("seed %d step %d:\n%v\nwant\n%v", seed, step, got, expected)
			}
			if c.Version != version || len(c.Routes) != len(want.Routes) {
				t.Fatalf("seed %d step %d: version %d, %d routes", seed, step, c.Version, len(c.Routes))
			}
		}
	}
}

// applyReference is a direct reference implementation of a patch of one list.
func applyReference(list *[]map[string]any, upsert []map[string]any, remove []string) {
	for _, changed := range upsert {
		at := slices.IndexFunc(*list, func(kept map[string]any) bool { return kept["name"] == changed["name"] })
		if at < 0 {
			*list = append(*list, changed)
			continue
		}
		(*list)[at] = changed
	}
	*list = slices.DeleteFunc(*list, func(kept map[string]any) bool { return slices.Contains(remove, kept["name"].(string)) })
}

const patchBase = `{"version":4,"services":[{"name":"a"},{"name":"b"}],"routes":[
{"name":"one","host":"h","path_prefix":"/1/","timeout_ms":10,"service":"a"},{"name":"two","host":"h","path_prefix":"/2/","timeout_ms":10,"service":"b"}],
"tenants":[{"name":"t","api_keys":["k"]}]}`

// TestPatchFindings checks the places of the findings for patches that are invalid themselves or have an invalid result.
func TestPatchFindings(t *testing.T) {
	for text, want := range map[string][]string{
		`{}`: {"version"},
		`{"version":5,"upsert":{"routes":[{"host":"h","path_prefix":"/3/","timeout_ms":1,"service":"a"}]}}`:                                                                            {"upsert.routes[0] "},
		`{"version":5,"upsert":{"routes":[{"name":"x"},{"name":"x"}]},"remove":{"routes":["x"]}}`:                                                                                      {"upsert.routes[0] x", "upsert.routes[1] x", "upsert.routes[1] x"},
		`{"version":5,"upsert":{"limits":{"idle_timeout_ms":1}},"remove":{"keys":["a"]}}`:                                                                                              {"upsert.limits", "remove.keys"},
		`{"version":5,"upsert":{"routes":[{"name":"one","host":"h","path_prefix":"/1/","timeout_ms":9,"service":"a"},{"name":"three","host":"h","path_prefix":"/3/","service":"a"}]}}`: {"upsert.routes[1] three"},
		`{"version":5,"upsert":{"routes":[{"name":"new","host":"h","path_prefix":"/2/","timeout_ms":9,"service":"a"}]}}`:                                                               {"upsert.routes[0] new"},
		`{"version":5,"remove":{"services":["b"]}}`:                                                                                                                                    {"routes[1] two"},
		`{"version":5,"upsert":{"tenants":[{"name":"u","api_keys":["k"]}]}}`:                                                                                                           {"upsert.tenants[0] u"},
	} {
		patch, err := ParsePatch([]byte(text))
		if err == nil {
			_, err = patch.Apply([]byte(patchBase))
		}
		var found *inputerrors.Error
		if !errors.As(err, &found) {
			t.Errorf("%s: %v", text, err)
			continue
		}
		var places []string
		for _, f := range found.Findings {
			places = append(places, f.Place)
		}
		if !slices.Equal(places, want) {
			t.Errorf("%s: %q, want %q", text, places, want)
		}
	}
}

// TestMalformedPatches checks that malformed patches are rejected.
func TestMalformedPatches(t *testing.T) {
	for _, text := range []string{"", `{"version":5`, `{"version":5,"upsert":{"routes":"one"}}`, `{"version":5,"remove":{"routes":[1]}}`, `{"version":5,"version":6}`} {
		if _, err := ParsePatch([]byte(text)); err == nil {
			t.Errorf("the malformed patch %q is parsed", text)
		}
	}
}

// TestPatchEdgeCases checks edge cases of valid patches: a patch without items, one that removes items that do not exist,
// and one that creates the first configuration.
func TestPatchEdgeCases(t *testing.T) {
	for _, c := range []struct {
		base, patch string
		routes      int
	}{
		{patchBase, `{"version":5}`, 2},
		{patchBase, `{"version":5,"upsert":{},"remove":null}`, 2},
		{patchBase, `{"version":5,"remove":{"routes":["r-old"],"tenants":["nobody"]}}`, 2},
		{patchBase, `{"version":5,"remove":{"routes":["two"],"services":["b"]}}`, 1},
		{"", `{"version":5,"upsert":{"services":[{"name":"a"}],"routes":[{"name":"one","host":"h","path_prefix":"/1/","timeout_ms":10,"service":"a"}]}}`, 1},
	} {
		patch, err := ParsePatch([]byte(c.patch))
		if err != nil {
			t.Errorf("%s: %v", c.patch, err)
			continue
		}
		after, err := patch.Apply([]byte(c.base))
		if err != nil || after.Version != 5 || len(after.Routes) != c.routes {
			t.Errorf("%s: %v, %+v", c.patch, err, after)
		}
	}
}
