package main

import (
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"gullstair/internal/broker"
	"gullstair/internal/core"
	"gullstair/internal/emulator"
	"gullstair/internal/memberactor"
)

var snakeCase = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// walkKeys calls seen with every JSON key of a type and of all types that it contains; the keys of maps are data and
// are skipped.
func walkKeys(t reflect.Type, seen func(where, key string), met map[reflect.Type]bool) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		walkKeys(t.Elem(), seen, met)
	case reflect.Struct:
		if met[t] {
			return
		}
		met[t] = true
		for i := range t.NumField() {
			f := t.Field(i)
			key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if !f.IsExported() || key == "-" {
				continue
			}
			if !f.Anonymous {
				seen(t.String()+"."+f.Name, key)
			}
			walkKeys(f.Type, seen, met)
		}
	}
}

// TestJSONKeys checks that all JSON keys that the commands write are in snake case, since scripts read them.
func TestJSONKeys(t *testing.T) {
	n := 0
	for _, v := range []any{memberactor.State{}, core.CellView{}, emulator.Figures{}, broker.LimitsView{}} {
		walkKeys(reflect.TypeOf(v), func(where, key string) {
			n++
			assert.Regexp(t, snakeCase, key, where)
		}, map[reflect.Type]bool{})
	}
	assert.Greater(t, n, 100)
}
