// Package planted keeps versions of the program with one safety rule taken out, and has the proofs find them: a proof that can't fail
// proves nothing. A version is made by the compiler's -overlay, so that no hook for it stays in the product.
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

// Fault is one rule taken out: in a file, or in a package's folder, Old, which stands there once, is New; and where the
// rule stands in two places Old2 is New2.
type Fault struct {
	Name, File, Old, New, Old2, New2 string
}

// Proof is a test that may find faults.
type Proof struct {
	Name, Package string
	Args          []string
	Among         string // for faults whose names begin with this; "": for those of no such proof
}

// Found is what a proof said of a fault.
type Found struct {
	Fault, Proof string
	Found        bool
	After        string // how much it had looked at
	Seconds      float64
}

// Apply writes a fault's version of its file, or files, and an overlay that names them, into a directory, and returns the
// overlay's path.
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
		path, err := holderOf(texts, change[0])
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
	at := filepath.Join(dir, "overlay.json")
	return at, os.WriteFile(at, overlay, 0o600)
}

// sources reads a file, or all files of a package but its tests, by path.
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

// holderOf finds the one place where a text stands.
func holderOf(texts map[string]string, text string) (string, error) {
	path, places := "", 0
	for at, whole := range texts {
		if n := strings.Count(whole, text); n > 0 {
			path, places = at, places+n
		}
	}
	if places != 1 {
		return "", fmt.Errorf("%q stands there %d times, once is needed", text, places)
	}
	return path, nil
}

var after = regexp.MustCompile(`after (\d+ (?:states|tests|schedules))`)

// Try plants a fault and runs a proof.
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
		return r, fmt.Errorf("planted: %s: %s ran out of time: that is no verdict", f.Name, p.Name)
	}
	r.Found = err != nil
	if m := after.FindStringSubmatch(string(out)); m != nil {
		r.After = m[1]
	}
	return r, nil
}
