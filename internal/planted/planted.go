// Package planted runs mutation tests: it plants faults that each disable one safety rule of the program and checks that the proofs, which are tests,
// detect them, since a proof that cannot fail proves nothing. It builds a faulty version with the compiler's -overlay flag, so that the product needs no
// hooks. It reads source files, writes temporary ones and runs the go command.
package planted

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// Fault disables one rule by a text replacement: Old, which occurs once in File (a file or a package's directory), becomes New. Old2 and New2 replace a
// second place if the rule needs it.
type Fault struct {
	Name, File, Old, New, Old2, New2 string
}

// Proof is a set of tests that may detect faults.
type Proof struct {
	Name, Package string
	Args          []string
	FaultPrefix   string // applies to faults whose names have this prefix; if empty, to faults without a prefix
}

// Found is the result of running a proof on a fault.
type Found struct {
	Fault, Proof string
	Found        bool
	After        string // number of states, tests or schedules that the proof had checked
	Seconds      float64
}

// Apply writes the files with the fault planted, and an overlay file that lists them, into dir. It returns the path of the overlay.
func Apply(root, dir string, f Fault) (string, error) {
	texts, err := sources(filepath.Join(root, f.File))
	if err != nil {
		return "", err
	}
	replace := map[string]string{}
	for _, change := range [][2]string{{f.Old, f.New}, {f.Old2, f.New2}} {
		if change[0] == "" {
			continue
		}
		path, err := fileContaining(texts, change[0])
		if err != nil {
			return "", fmt.Errorf("planted: %s: %w", f.Name, err)
		}
		texts[path] = strings.Replace(texts[path], change[0], change[1], 1)
		replace[path] = filepath.Join(dir, filepath.Base(path))
		if err := os.WriteFile(replace[path], []byte(texts[path]), 0o600); err != nil {
			return "", fmt.Errorf("planted: %w", err)
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", fmt.Errorf("planted: %w", err)
	}
	overlayPath := filepath.Join(dir, "overlay.json")
	return overlayPath, os.WriteFile(overlayPath, overlay, 0o600)
}

// sources reads a file, or all files of a package except its tests, and returns the texts by path.
func sources(path string) (map[string]string, error) {
	paths := []string{path}
	if !strings.HasSuffix(path, ".go") {
		var err error
		if paths, err = filepath.Glob(filepath.Join(path, "*.go")); err != nil {
			return nil, fmt.Errorf("planted: %w", err)
		}
	}
	texts := map[string]string{}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("planted: %w", err)
		}
		texts[path] = string(text)
	}
	return texts, nil
}

// fileContaining returns the path of the file that contains a text. It is an error if the text does not occur exactly once.
func fileContaining(texts map[string]string, text string) (string, error) {
	path, places := "", 0
	for file, content := range texts {
		if n := strings.Count(content, text); n > 0 {
			path, places = file, places+n
		}
	}
	if places != 1 {
		return "", fmt.Errorf("%q occurs %d times, want exactly once", text, places)
	}
	return path, nil
}

var progress = regexp.MustCompile(`after (\d+ (?:states|tests|schedules))`)

// Try plants a fault, runs a proof on the faulty version and reports whether the proof fails, that is, detects the fault.
func Try(root string, f Fault, p Proof) (r Found, err error) {
	dir, err := os.MkdirTemp("", "planted")
	if err != nil {
		return r, fmt.Errorf("planted: %w", err)
	}
	defer os.RemoveAll(dir)
	overlay, err := Apply(root, dir, f)
	if err != nil {
		return r, err
	}
	r = Found{Fault: f.Name, Proof: p.Name}
	binary := filepath.Join(dir, "proof.test")
	build := exec.Command("go", "test", "-c", "-overlay", overlay, "-o", binary, p.Package)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return r, fmt.Errorf("planted: %s does not build: %s", f.Name, out)
	}
	run := exec.Command(binary, p.Args...)
	run.Dir = filepath.Join(root, strings.TrimPrefix(p.Package, "./"))
	begun := time.Now()
	out, err := run.CombinedOutput()
	r.Seconds = time.Since(begun).Seconds()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return r, fmt.Errorf("planted: %s: %w", f.Name, err)
	}
	if strings.Contains(string(out), "test timed out") {
		return r, fmt.Errorf("planted: %s: %s timed out, which is no result", f.Name, p.Name)
	}
	r.Found = err != nil
	if m := progress.FindStringSubmatch(string(out)); m != nil {
		r.After = m[1]
	}
	return r, nil
}
