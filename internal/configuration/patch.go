package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"gullstair/internal/configuration/configpb"
	"gullstair/internal/inputerrors"
)

// Patch adds, replaces and removes items of a configuration by name. ParsePatch validates the patch itself; Apply validates the
// resulting configuration. A Patch is immutable.
type Patch struct {
	Version int64
	Raw     []byte // JSON as the operator sent it

	version json.RawMessage
	lists   []listPatch
}

// listPatch is the part of a patch that changes one list of a configuration.
type listPatch struct {
	list   string
	upsert []item
	remove []string
}

// item is one entry of a list with its complete JSON.
type item struct {
	name string
	raw  json.RawMessage
}

// namedLists are the lists of a configuration whose items have names.
var namedLists = []string{"routes", "services", "tenants"}

// ParsePatch parses a patch and validates it without a configuration. The error lists all findings.
func ParsePatch(raw []byte) (*Patch, error) {
	message := &configpb.Update{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(raw, message); err != nil {
		return nil, errors.Wrap(err, "update cannot be read")
	}
	fields, err := objectOf(raw)
	if err != nil {
		return nil, err
	}
	upsert, err := objectOf(fields["upsert"])
	if err != nil {
		return nil, err
	}
	remove, err := objectOf(fields["remove"])
	if err != nil {
		return nil, err
	}
	p := &Patch{Version: message.Version, Raw: raw, version: fields["version"]}
	var findings inputerrors.List
	if p.Version <= 0 {
		findings.Add("version", "%d is not above 0", p.Version)
	}
	checkLists(&findings, "upsert", upsert)
	checkLists(&findings, "remove", remove)
	for _, list := range namedLists {
		change := listPatch{list: list}
		if change.upsert, err = itemsOf(upsert[list]); err != nil {
			return nil, err
		}
		if err := unmarshalField(remove[list], &change.remove); err != nil {
			return nil, err
		}
		change.check(&findings)
		p.lists = append(p.lists, change)
	}
	if err := findings.Err(); err != nil {
		return nil, errors.Wrap(err, "update")
	}
	return p, nil
}

// checkLists reports fields that are not lists of named items, which a patch would silently ignore.
func checkLists(findings *inputerrors.List, part string, lists map[string]json.RawMessage) {
	var unknown []string
	for list := range lists {
		if !slices.Contains(namedLists, list) {
			unknown = append(unknown, list)
		}
	}
	slices.Sort(unknown)
	for _, list := range unknown {
		findings.Add(part+"."+list, "is no list of items with names")
	}
}

// check reports items without a name, duplicate items, and items that are both upserted and removed.
func (c *listPatch) check(findings *inputerrors.List) {
	seen := map[string]bool{}
	for i, changed := range c.upsert {
		place := upsertPlace(c.list, i, changed.name)
		if changed.name == "" {
			findings.Add(place, "has no name")
		}
		if seen[changed.name] {
			findings.Add(place, "is there twice")
		}
		if slices.Contains(c.remove, changed.name) {
			findings.Add(place, "is to be removed as well")
		}
		seen[changed.name] = true
	}
}

// upsertPlace returns the place that a finding reports for an upserted item.
func upsertPlace(list string, i int, name string) string {
	return "upsert." + placeOf(list, i, name)
}

// Apply applies the patch to the JSON of a configuration and validates the result. Items and fields that the patch does not name
// are kept as they were sent, including fields that this program does not know. The removal of an item that does not exist is not
// an error.
func (p *Patch) Apply(base []byte) (*Configuration, error) {
	if len(base) == 0 {
		base = []byte("{}")
	}
	config, err := objectOf(base)
	if err != nil {
		return nil, err
	}
	upserted := map[string][]int{} // by list: for each item of the result its index in the patch, or notUpserted
	for _, change := range p.lists {
		before, err := itemsOf(config[change.list])
		if err != nil {
			return nil, err
		}
		after, from := change.apply(before)
		if len(after) == 0 && config[change.list] == nil {
			continue
		}
		upserted[change.list] = from
		if config[change.list], err = encode(after); err != nil {
			return nil, err
		}
	}
	config["version"] = p.version
	raw, err := encode(config)
	if err != nil {
		return nil, err
	}
	return parse(raw, func(list string, i int, name string) string {
		if from := upserted[list]; i < len(from) && from[i] != notUpserted {
			return upsertPlace(list, from[i], name)
		}
		return placeOf(list, i, name)
	})
}

const notUpserted = -1

// apply returns the list after the change, and for each of its items the index in upsert, or notUpserted.
func (c *listPatch) apply(before []item) (after []json.RawMessage, from []int) {
	placed := make([]bool, len(c.upsert))
	for _, existing := range before {
		at := slices.IndexFunc(c.upsert, func(changed item) bool { return changed.name == existing.name })
		switch {
		case slices.Contains(c.remove, existing.name):
		case at < 0:
			after, from = append(after, existing.raw), append(from, notUpserted)
		case !placed[at]:
			placed[at] = true
			after, from = append(after, c.upsert[at].raw), append(from, at)
		}
	}
	for at, added := range c.upsert {
		if !placed[at] {
			after, from = append(after, added.raw), append(from, at)
		}
	}
	return after, from
}

// objectOf returns the fields of a JSON object. An empty text and null have no fields.
func objectOf(raw json.RawMessage) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if err := unmarshalField(raw, &fields); err != nil {
		return nil, err
	}
	if fields == nil { // null
		fields = map[string]json.RawMessage{}
	}
	return fields, nil
}

// itemsOf parses a list of named items.
func itemsOf(raw json.RawMessage) ([]item, error) {
	var all []json.RawMessage
	if err := unmarshalField(raw, &all); err != nil {
		return nil, err
	}
	items := make([]item, len(all))
	for i, rawItem := range all {
		fields, err := objectOf(rawItem)
		if err != nil {
			return nil, err
		}
		items[i].raw = rawItem
		if err := unmarshalField(fields["name"], &items[i].name); err != nil {
			return nil, err
		}
	}
	return items, nil
}

// unmarshalField parses raw into a value, and leaves the value unchanged if raw is empty.
func unmarshalField(raw json.RawMessage, into any) error {
	if len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return errors.Wrap(err, fmt.Sprintf("%T cannot be read", into))
	}
	return nil
}

// encode returns a value as JSON without HTML escaping, so that strings keep their text.
func encode(value any) (json.RawMessage, error) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "write the configuration")
	}
	return bytes.TrimRight(text.Bytes(), "\n"), nil
}
