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

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// maxShownBytes is how much of a faulty value an error message shows.
const maxShownBytes = 60

// decode decodes a JSON object into the struct that value points to. It decodes
// each field separately, so that it reports all faults and not only the first.
// Names must match the names of the fields, including case, and may not occur
// twice. Fields that the object lacks keep their value. The error is set if the
// data is not one JSON object.
func decode(data []byte, value any) ([]kqclass.Fault, error) {
	fields, duplicates, err := readObject(data)
	if err != nil {
		return nil, err
	}
	var faults []kqclass.Fault
	for _, name := range duplicates {
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
			faults = append(faults, kqclass.Fault{Field: name, Value: abbreviate(raw), Expect: describeType(target.Field(i).Type())})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		faults = append(faults, kqclass.Fault{Field: name, Value: abbreviate(fields[name]), Expect: "no such field"})
	}
	return faults, nil
}

// readObject splits a JSON object into its fields, and returns the names of
// fields that occur more than once.
func readObject(data []byte) (map[string]json.RawMessage, []string, error) {
	if len(data) > maxFileBytes {
		return nil, nil, errors.Newf("file has %d bytes, the limit is %d", len(data), maxFileBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	if err != nil {
		return nil, nil, errors.Wrap(err, "invalid JSON")
	}
	if start != json.Delim('{') {
		return nil, nil, errors.Newf("file starts with %v: want a JSON object", start)
	}
	fields := map[string]json.RawMessage{}
	var duplicates []string
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, nil, errors.Wrapf(err, "invalid JSON at byte %d", decoder.InputOffset())
		}
		name, _ := token.(string)
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return nil, nil, errors.Wrapf(err, "invalid JSON at byte %d", decoder.InputOffset())
		}
		if _, found := fields[name]; found {
			duplicates = append(duplicates, name)
		}
		fields[name] = raw
	}
	if _, err := decoder.Token(); err != nil {
		return nil, nil, errors.Wrapf(err, "invalid JSON at byte %d", decoder.InputOffset())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, errors.Newf("data after the JSON object at byte %d", decoder.InputOffset())
	}
	return fields, duplicates, nil
}

// abbreviate returns the JSON text of a value, shortened to maxShownBytes.
func abbreviate(raw json.RawMessage) string {
	if len(raw) > maxShownBytes {
		return string(raw[:maxShownBytes]) + "..."
	}
	return string(raw)
}

// describeType describes the JSON form of a Go type for error messages.
func describeType(t reflect.Type) string {
	if t == reflect.TypeFor[kqclass.Duration]() {
		return "a duration such as \"250ms\""
	}
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list, each " + describeType(t.Elem())
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return fmt.Sprintf("a value of type %s", t)
	}
}
