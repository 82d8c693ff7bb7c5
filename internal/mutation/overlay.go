package mutation

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Overlay is a set of changed and added source files for the flag -overlay of go build. Its zero value changes nothing.
type Overlay struct {
	sources map[string]string // by absolute path
}

// Replace changes a place of a source file; an error says that the place isn't there exactly once.
func (o *Overlay) Replace(place Replacement) error {
	path, err := filepath.Abs(place.File)
	if err != nil {
		return err
	}
	source, known := o.sources[path]
	if !known {
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		source = string(content)
	}
	if n := strings.Count(source, place.From); n != 1 {
		return fmt.Errorf("the place %q appears %d times in %s, want once", place.From, n, place.File)
	}
	return o.Add(path, strings.Replace(source, place.From, place.To, 1))
}

// Add adds a source file, or replaces one.
func (o *Overlay) Add(file, content string) error {
	path, err := filepath.Abs(file)
	if err != nil {
		return err
	}
	if o.sources == nil {
		o.sources = map[string]string{}
	}
	o.sources[path] = content
	return nil
}

// Write writes the files to a folder, beside a file for the flag, whose path it returns.
func (o *Overlay) Write(dir string) (string, error) {
	replaced := map[string]string{}
	for path, source := range o.sources {
		changed := filepath.Join(dir, strconv.Itoa(len(replaced))+filepath.Base(path))
		if err := os.WriteFile(changed, []byte(source), 0o600); err != nil {
			return "", err
		}
		replaced[path] = changed
	}
	text, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "overlay.json")
	return file, os.WriteFile(file, text, 0o600)
}
