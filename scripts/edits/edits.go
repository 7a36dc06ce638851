// Package edits parses named source changes from text files and applies them to a source tree:
// mutants, which disable a guard so that a test must fail, and ablations, which switch a
// mechanism off to measure its benefit.
package edits

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Edit is a change at one place of one file.
type Edit struct {
	// Name identifies the edit, File is the path of the file relative to the root of the tree.
	Name, File string
	// Rule and Test are set for mutants: the rule that is violated without the guard, and the
	// arguments of the `go test` that must report it.
	Rule, Test string
	// Description is set for ablations: a description of the mechanism.
	Description string
	// Old holds the lines that are replaced by New.
	Old, New string
}

// ErrUnfit is returned for an edit that no longer matches the source.
var ErrUnfit = errors.New("does not fit the code: its old lines must occur there exactly once")

// field returns a pointer to the field for a key, or nil if the key is unknown.
func (edit *Edit) field(key string) *string {
	switch key {
	case "name":
		return &edit.Name
	case "file":
		return &edit.File
	case "rule":
		return &edit.Rule
	case "test":
		return &edit.Test
	case "what":
		return &edit.Description
	}
	return nil
}

// Parse parses a list of edits. Each has `key: value` lines, then the old lines after `<<<<`, the
// new lines after `====`, and ends with `>>>>`. A name, a file, old lines and the needed keys are
// mandatory. Empty lines and lines that begin with # are ignored between edits.
func Parse(text string, needed ...string) (list []Edit, err error) {
	var edit Edit
	var target *string
	for number, line := range strings.Split(text, "\n") {
		key, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "<<<<":
			target = &edit.Old
		case line == "====":
			target = &edit.New
		case line == ">>>>":
			for _, key := range append([]string{"name", "file"}, needed...) {
				if *edit.field(key) == "" {
					return nil, fmt.Errorf("line %d: edit %q has no %s", number+1, edit.Name, key)
				}
			}
			if edit.Old == "" {
				return nil, fmt.Errorf("line %d: edit %q has no old lines", number+1, edit.Name)
			}
			// Without the final newline, the last old line may match the beginning of a longer line.
			edit.Old, edit.New = strings.TrimSuffix(edit.Old, "\n"), strings.TrimSuffix(edit.New, "\n")
			list, edit, target = append(list, edit), Edit{}, nil
		case target != nil:
			*target += line + "\n"
		case line == "" || strings.HasPrefix(line, "#"):
		case edit.field(key) != nil:
			*edit.field(key) = value
		default:
			return nil, fmt.Errorf("line %d: unexpected %q", number+1, line)
		}
	}
	return list, nil
}

// Apply returns the contents of the file below root with the edit applied; the file itself is not
// changed. It fails with ErrUnfit if the old lines do not occur exactly once, or with the error of
// reading the file.
func (edit *Edit) Apply(root string) ([]byte, error) {
	code, err := os.ReadFile(filepath.Join(root, edit.File))
	if err != nil {
		return nil, err
	}
	if strings.Count(string(code), edit.Old) != 1 {
		return nil, ErrUnfit
	}
	return []byte(strings.Replace(string(code), edit.Old, edit.New, 1)), nil
}
