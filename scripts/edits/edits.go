// Package edits reads named changes of the code from text files, and applies them to a tree:
// guards that are disabled to see a test fail, mechanisms that are switched off to see what
// they are worth.
package edits

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Edit is one change of one file.
type Edit struct {
	// Name is its own, File the file's path from the root of the tree.
	Name, File string
	// Rule and Test are, of a disabled guard, the rule that breaks and the test that shows it.
	Rule, Test string
	// What is, of a mechanism, what it does.
	What string
	// Old are the lines that Fresh stands for.
	Old, Fresh string
}

// ErrUnfit tells that an edit does not fit the code any more.
var ErrUnfit = errors.New("does not fit the code: its old lines must stand there once")

// field gives the place of a key's value; nil for an unknown key.
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
		return &edit.What
	}
	return nil
}

// Parse reads edits: `key: value` lines, then the old lines after `<<<<`, the new ones after
// `====`, ended by `>>>>`. Each needs a name, a file, old lines, and the named keys.
func Parse(text string, needed ...string) (list []Edit, err error) {
	var one Edit
	var into *string
	for number, line := range strings.Split(text, "\n") {
		key, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "<<<<":
			into = &one.Old
		case line == "====":
			into = &one.Fresh
		case line == ">>>>":
			for _, key := range append([]string{"name", "file"}, needed...) {
				if *one.field(key) == "" {
					return nil, fmt.Errorf("line %d: edit %q lacks %s", number+1, one.Name, key)
				}
			}
			if one.Old == "" {
				return nil, fmt.Errorf("line %d: edit %q lacks old lines", number+1, one.Name)
			}
			// The last line may be the beginning of a longer one.
			one.Old, one.Fresh = strings.TrimSuffix(one.Old, "\n"), strings.TrimSuffix(one.Fresh, "\n")
			list, one, into = append(list, one), Edit{}, nil
		case into != nil:
			*into += line + "\n"
		case line == "" || strings.HasPrefix(line, "#"):
		case one.field(key) != nil:
			*one.field(key) = value
		default:
			return nil, fmt.Errorf("line %d: %q", number+1, line)
		}
	}
	return list, nil
}

// Apply gives the file's contents with the change in it. ErrUnfit, or why it can't be read.
func (edit *Edit) Apply(root string) ([]byte, error) {
	code, err := os.ReadFile(filepath.Join(root, edit.File))
	if err != nil {
		return nil, err
	}
	if strings.Count(string(code), edit.Old) != 1 {
		return nil, ErrUnfit
	}
	return []byte(strings.Replace(string(code), edit.Old, edit.Fresh, 1)), nil
}
