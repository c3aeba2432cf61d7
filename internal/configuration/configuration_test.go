package configuration

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"gullstair/internal/inputerrors"
)

func read(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestFindings(t *testing.T) {
	cases, err := filepath.Glob("testdata/invalid-*.json")
	if err != nil || len(cases) < 8 {
		t.Fatalf("%d cases, %v", len(cases), err)
	}
	for _, path := range cases {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		t.Run(name, func(t *testing.T) {
			_, err := Parse(read(t, name+".json"))
			var found *inputerrors.Error
			switch {
			case err == nil:
				t.Fatal("the invalid configuration is accepted")
			case errors.As(err, &found):
				var lines []string
				for _, f := range found.Findings {
					lines = append(lines, f.Place+" "+f.Message)
				}
				goldie.New(t).Assert(t, name, []byte(strings.Join(lines, "\n")+"\n"))
			case name != "invalid-cut-short":
				t.Fatalf("no findings: %v", err)
			}
		})
	}
}

func TestRoutes(t *testing.T) {
	c, err := Parse(read(t, "valid.json"))
	if err != nil {
		t.Fatal(err)
	}
	for request, want := range map[string]string{
		"a.example/x/":         "short",
		"a.example/x/y/z":      "long",
		"A.example:8080/x/y/":  "long",
		"b.example/x/":         "other",
		"a.example/":           "",
		"unknown.example/x/y/": "",
	} {
		host, path, _ := strings.Cut(request, "/")
		got := ""
		if r := c.Route(host, "/"+path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: route %q, want %q", request, got, want)
		}
	}
	if r := c.Route("a.example", "/x/"); r.Kind != Streaming || !r.Resumable || r.MaxAttempts != 2 || len(r.Splits) != 2 {
		t.Errorf("route: %+v", r)
	}
	if tenant := c.TenantByKey("key-2"); tenant == nil || tenant.Name != "t" || !tenant.Isolated {
		t.Errorf("tenant: %+v", tenant)
	}
	if c.TenantByKey("unknown") != nil || c.TenantByKey("") != nil {
		t.Error("an unknown key has a tenant")
	}
	if e := c.Services["llm"].Engine; e == nil || e.Slots != 64 || e.LinkMbps != 390000 || e.MaxConcurrency != 12 {
		t.Errorf("engine: %+v", e)
	}
}

// TestIsolationHash checks that the hash depends on the set of isolated tenants and on nothing else.
func TestIsolationHash(t *testing.T) {
	hashWith := func(tenants string) uint64 {
		c, err := Parse([]byte(`{"version":1,"tenants":[` + tenants + `]}`))
		if err != nil {
			t.Fatal(err)
		}
		return c.IsolationHash()
	}
	one := hashWith(`{"name":"a","api_keys":["1"],"isolated":true},{"name":"b","api_keys":["2"]}`)
	if one != hashWith(`{"name":"b","api_keys":["2","3"],"priority":4},{"name":"a","api_keys":["1"],"isolated":true}`) {
		t.Error("the hash depends on API keys, priorities or the order of tenants")
	}
	if one == hashWith(`{"name":"a","api_keys":["1"],"isolated":true},{"name":"b","api_keys":["2"],"isolated":true}`) {
		t.Error("another isolated tenant does not change the hash")
	}
}

func TestManyRoutes(t *testing.T) {
	var b strings.Builder
	b.WriteString(`{"version":7,"services":[{"name":"s"}],"routes":[`)
	for i := range 400 {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":"r%d","host":"h.example","path_prefix":"/p%d/","kind":"unsafe","timeout_ms":100,"service":"s"}`, i, i)
	}
	b.WriteString(`]}`)
	c, err := Parse([]byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	if r := c.Route("h.example", "/p399/x"); r == nil || r.Name != "r399" {
		t.Errorf("route: %+v", r)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(read(f, "valid.json"))
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Parse(raw)
		if err != nil {
			return
		}
		for _, r := range c.Routes {
			if c.Route(r.Host, r.Prefix) == nil {
				t.Fatalf("route %q is not found by its own host and prefix", r.Name)
			}
		}
	})
}
