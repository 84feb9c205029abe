package kqsettings_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqsettings"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	_, err := kqsettings.ReadNode(filepath.Join("testdata", "faulty.json"))
	var faulty *kqsettings.ValidationError
	if !errors.As(err, &faulty) {
		t.Fatalf("error: got %v, want a ValidationError", err)
	}
	golden := filepath.Join("testdata", "faulty.golden")
	got := faulty.Error() + "\n"
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("faults: got\n%swant\n%s", got, want)
	}
}

func TestExampleSettingsHaveNoFaults(t *testing.T) {
	examples := filepath.Join("..", "..", "_fixtures", "settings")
	if _, err := kqsettings.ReadNode(filepath.Join(examples, "node.json")); err != nil {
		t.Errorf("node.json: got %v, want no faults", err)
	}
	if _, err := kqsettings.ReadMesh(filepath.Join(examples, "mesh.json")); err != nil {
		t.Error(err)
	}
	if _, err := kqsettings.ReadStore(filepath.Join(examples, "store.json")); err != nil {
		t.Errorf("store.json: got %v, want no faults", err)
	}
	if _, err := kqsettings.ReadBackend(filepath.Join(examples, "backend.json")); err != nil {
		t.Errorf("backend.json: got %v, want no faults", err)
	}
}

func TestUnreadableFilesFailWithErrRead(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "list": "[]", "cut": `{"Address": "127.0`, "two": "{} {}", "bytes": "\xff\xfe", "deep": `{"Address": [[[[`,
	} {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := kqsettings.ReadStore(path); !errors.Is(err, kqsettings.ErrRead) {
			t.Errorf("%s: got %v, want ErrRead", name, err)
		}
	}
	if _, err := kqsettings.ReadStore(filepath.Join(t.TempDir(), "missing")); !errors.Is(err, kqsettings.ErrRead) {
		t.Errorf("missing file: got %v, want ErrRead", err)
	}
}

// FuzzReadNode reads arbitrary bytes as settings. ReadNode must not panic, and
// settings that it accepts must have no faults when they are checked again.
func FuzzReadNode(f *testing.F) {
	for _, path := range []string{"testdata/faulty.json", "../../_fixtures/settings/node.json"} {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "node.json")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		n, err := kqsettings.ReadNode(path)
		if err != nil {
			return
		}
		if faults := n.Check(); len(faults) > 0 {
			t.Errorf("faults of accepted settings: got %v, want none", faults)
		}
	})
}

func TestReadmeExampleMatchesExampleSettings(t *testing.T) {
	readme, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("..", "..", "_fixtures", "settings", "node.json"))
	if err != nil {
		t.Fatal(err)
	}
	if _, rest, found := strings.Cut(string(readme), "```json\n"); !found || !strings.HasPrefix(rest, string(want)+"```") {
		t.Errorf("example of the README: differs from _fixtures/settings/node.json, want the same text")
	}
}

// TestTooLittleMemoryIsAFault reads the example settings of a mesh node with several
// values of the memory.
func TestTooLittleMemoryIsAFault(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "_fixtures", "settings", "mesh.json"))
	if err != nil {
		t.Fatal(err)
	}
	for value, want := range map[string]bool{"96": true, "184": true, "95": false, "-1": false, `"284"`: false} {
		path := filepath.Join(t.TempDir(), "mesh.json")
		changed := strings.Replace(string(text), "{", `{"MemoryMegabytes": `+value+",", 1)
		if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := kqsettings.ReadMesh(path); (err == nil) != want {
			t.Errorf("MemoryMegabytes %s: got %v, want valid %t", value, err, want)
		}
	}
}
