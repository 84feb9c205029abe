package kqsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// maxShownBytes bounds how much of a faulty value is shown.
const maxShownBytes = 60

// decode reads a JSON object into the struct that value points to, field by
// field, so that every fault is found and not only the first. Names must be
// written exactly as the fields are, and none may stand twice.
func decode(data []byte, value any) ([]kqclass.Fault, error) {
	fields, twice, err := readObject(data)
	if err != nil {
		return nil, err
	}
	var faults []kqclass.Fault
	for _, name := range twice {
		faults = append(faults, kqclass.Fault{Field: name, Value: "written twice", Expect: "each field once"})
	}
	target := reflect.ValueOf(value).Elem()
	for i := range target.NumField() {
		name := target.Type().Field(i).Name
		raw, given := fields[name]
		delete(fields, name)
		if !given {
			continue
		}
		if err := json.Unmarshal(raw, target.Field(i).Addr().Interface()); err != nil {
			faults = append(faults, kqclass.Fault{Field: name, Value: shown(raw), Expect: expected(target.Field(i).Type())})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		faults = append(faults, kqclass.Fault{Field: name, Value: shown(fields[name]), Expect: "no such field"})
	}
	return faults, nil
}

// readObject takes a JSON object apart and names the fields that stand twice.
func readObject(data []byte) (map[string]json.RawMessage, []string, error) {
	if len(data) > maxFileBytes {
		return nil, nil, errors.Newf("%d bytes, at most %d are read", len(data), maxFileBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	open, err := decoder.Token()
	if err != nil {
		return nil, nil, errors.Wrap(err, "not JSON")
	}
	if open != json.Delim('{') {
		return nil, nil, errors.Newf("starts with %v: want a JSON object", open)
	}
	fields := map[string]json.RawMessage{}
	var twice []string
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, nil, errors.Wrapf(err, "not JSON at byte %d", decoder.InputOffset())
		}
		name, _ := token.(string)
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return nil, nil, errors.Wrapf(err, "not JSON at byte %d", decoder.InputOffset())
		}
		if _, found := fields[name]; found {
			twice = append(twice, name)
		}
		fields[name] = raw
	}
	if _, err := decoder.Token(); err != nil {
		return nil, nil, errors.Wrapf(err, "not JSON at byte %d", decoder.InputOffset())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, errors.Newf("more than one JSON object: byte %d", decoder.InputOffset())
	}
	return fields, twice, nil
}

func shown(raw json.RawMessage) string {
	if len(raw) > maxShownBytes {
		return string(raw[:maxShownBytes]) + "..."
	}
	return string(raw)
}

// expected names the JSON form of a Go type.
func expected(t reflect.Type) string {
	if t == reflect.TypeFor[kqclass.Duration]() {
		return "a duration such as \"250ms\""
	}
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list, each " + expected(t.Elem())
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return fmt.Sprintf("a value of type %s", t)
	}
}
