package modelcheck

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"strings"

	"swifttiller/register"
)

// symmetricState returns a hash that is equal for states that differ only by a permutation of the
// symmetric nodes: the least hash over all permutations. Runs of such worlds have no power losses,
// so the further behavior of an acceptor depends on its state in memory and not on its disk.
func (run *Run) symmetricState(instance Instance) uint64 {
	lines := run.stateLines()
	if observer, isObserved := instance.(observable); isObserved {
		lines = append(lines, observer.Observed())
	}
	least := ^uint64(0)
	for _, names := range permutations(run.symmetric) {
		var pairs []string
		for index, name := range run.symmetric {
			pairs = append(pairs, name, names[index])
		}
		replacer := strings.NewReplacer(pairs...)
		renamed := make([]string, len(lines))
		for index, line := range lines {
			renamed[index] = replacer.Replace(line)
		}
		slices.Sort(renamed)
		sum := fnv.New64a()
		for _, line := range renamed {
			_, _ = io.WriteString(sum, line)
		}
		least = min(least, sum.Sum64())
	}
	return least
}

// observable is an instance whose check at the end depends on what its clients have observed so far.
type observable interface{ Observed() string }

// stateLines describes the state of the run's nodes and messages in one line each.
func (run *Run) stateLines() (lines []string) {
	for name, node := range run.nodes {
		line := fmt.Sprint("node ", name, " ", node.incarnation, " ")
		if acceptor, isAcceptor := node.services["Register"].(*register.Acceptor); isAcceptor {
			var about register.Status
			_ = acceptor.Describe(struct{}{}, &about)
			text, err := json.Marshal(acceptor.Cells())
			if err != nil {
				panic(err) // the cells consist of the registers' own types, and all of them can be encoded
			}
			line += fmt.Sprint(about.Core.Epoch, about.Sealed, string(text))
		} else {
			line += strings.Join(node.inputs, "|")
		}
		lines = append(lines, line)
	}
	for _, message := range run.inFlight {
		lines = append(lines, fmt.Sprint("message ", message.from, message.to, message.method, message.isReply, string(message.body)))
	}
	return append(lines, fmt.Sprint("now ", run.now))
}

// permutations returns all permutations of the names.
func permutations(names []string) (out [][]string) {
	if len(names) == 0 {
		return [][]string{nil}
	}
	for index, name := range names {
		rest := slices.Concat(names[:index:index], names[index+1:])
		for _, order := range permutations(rest) {
			out = append(out, append([]string{name}, order...))
		}
	}
	return out
}
