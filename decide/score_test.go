package decide

import (
	"fmt"
	"hash/fnv"
	"testing"
)

// TestScore guards against a change of the score, on which the daemons of all releases must agree.
func TestScore(t *testing.T) {
	for _, prefix := range []uint64{0, 1, 0xabcdef, 1<<64 - 1} {
		for _, name := range []string{"", "i-7f3a91c2", "r/1", "é"} {
			sum := fnv.New64a()
			_, _ = fmt.Fprintf(sum, "%x/%s", prefix, name)
			value := sum.Sum64()
			value ^= value >> 32
			value *= 0xd6e8feb86659fd93
			if want := value ^ value>>32; score(prefix, name) != want {
				t.Errorf("score(%x, %q) is %x, not %x", prefix, name, score(prefix, name), want)
			}
		}
	}
}
