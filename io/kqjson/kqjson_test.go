package kqjson_test

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"kumquatlink/io/kqjson"
)

func TestFieldsAndElementsAreSplit(t *testing.T) {
	for _, c := range []struct {
		text string
		want map[string]string
	}{
		{``, map[string]string{}},
		{` null `, map[string]string{}},
		{`{}`, map[string]string{}},
		{`{"a":1,"b":"x,}"}`, map[string]string{"a": `1`, "b": `"x,}"`}},
		{" {\n \"a\" : { \"b\" : [ 1 , 2 ] } , \"\\u0063\" : true } ", map[string]string{"a": `{ "b" : [ 1 , 2 ] }`, "c": `true`}},
		{`{"a":"\\","b":"\"","a":1e999}`, map[string]string{"a": `1e999`, "b": `"\""`}},
	} {
		fields, err := kqjson.Fields([]byte(c.text))
		got := map[string]string{}
		for name, value := range fields {
			got[name] = string(value)
		}
		if err != nil || !maps.Equal(got, c.want) {
			t.Errorf("fields of %s: got %v, %v, want %v", c.text, got, err, c.want)
		}
	}
	elements, err := kqjson.Elements([]byte(`[ {"a":[1]}, "]" ,3,[] ]`))
	var got []string
	for _, e := range elements {
		got = append(got, string(e))
	}
	if want := []string{`{"a":[1]}`, `"]"`, `3`, `[]`}; err != nil || !slices.Equal(got, want) {
		t.Errorf("elements: got %v, %v, want %v", got, err, want)
	}
}

func TestMalformedTextIsRefused(t *testing.T) {
	for _, text := range []string{`{`, `[`, `{"a"}`, `{"a":}`, `{"a":1`, `{a:1}`, `{"a":1,}`, `{"a" 1}`, `{"a":1 "b":2}`, `[1`, `[1,`, `[,]`, `[1 2]`, `"`, `7`, `{"a":"`, `{"a":"\`, `[}`} {
		_, fieldsErr := kqjson.Fields([]byte(text))
		_, elementsErr := kqjson.Elements([]byte(text))
		if !errors.Is(fieldsErr, kqjson.ErrMalformed) || !errors.Is(elementsErr, kqjson.ErrMalformed) {
			t.Errorf("%s: got %v as an object and %v as an array, want ErrMalformed for both", text, fieldsErr, elementsErr)
		}
	}
}

// TestDeeplyNestedFieldIsSplit has a depth at which encoding/json gives up.
func TestDeeplyNestedFieldIsSplit(t *testing.T) {
	const depth = 100_000
	deep := strings.Repeat(`{"a":[`, depth) + strings.Repeat(`]}`, depth)
	fields, err := kqjson.Fields([]byte(`{"deep":` + deep + `,"flat":1}`))
	if err != nil || string(fields["flat"]) != "1" || string(fields["deep"]) != deep {
		t.Errorf("fields beside a deep one: got %d bytes and %s, %v, want %d and 1", len(fields["deep"]), fields["flat"], err, len(deep))
	}
}

// TestSplittingMatchesEncodingJSON compares the split of random objects and
// arrays with what encoding/json reads.
func TestSplittingMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.MapOf(rapid.String(), rapid.String()))).Draw(t, "value")
		text, err := json.MarshalIndent(value, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
		if err != nil {
			t.Fatal(err)
		}
		want := map[string]json.RawMessage{}
		if err := json.Unmarshal(text, &want); err != nil {
			t.Fatal(err)
		}
		got, err := kqjson.Fields(text)
		if err != nil || !maps.EqualFunc(got, want, func(a []byte, b json.RawMessage) bool { return string(a) == string(b) }) {
			t.Fatalf("fields of %s: got %s, %v, want %s", text, got, err, want)
		}
		for name, array := range want {
			var want []json.RawMessage
			if err := json.Unmarshal(array, &want); err != nil {
				t.Fatal(err)
			}
			got, err := kqjson.Elements(array)
			if err != nil || !slices.EqualFunc(got, want, func(a []byte, b json.RawMessage) bool { return string(a) == string(b) }) {
				t.Fatalf("elements of field %q: got %s, %v, want %s", name, got, err, want)
			}
		}
	})
}

func FuzzFields(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"\""}]}`))
	f.Add([]byte(`{"a":"\`))
	f.Fuzz(func(t *testing.T, text []byte) {
		want := map[string]json.RawMessage{}
		if json.Unmarshal(text, &want) != nil {
			// Malformed text must only not panic.
			_, _ = kqjson.Fields(text)
			_, _ = kqjson.Elements(text)
			return
		}
		got, err := kqjson.Fields(text)
		if err != nil || len(got) != len(want) {
			t.Errorf("fields of %q: got %d, %v, want %d", text, len(got), err, len(want))
		}
	})
}
