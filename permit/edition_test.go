package permit

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/settings"
)

// routesDocument is a document with the routes of so many tenants, of which one may have moved.
func routesDocument(label, count, moved int) []byte {
	var list []string
	for index := range count {
		host := fmt.Sprintf("t%d.example", index)
		if index == moved {
			host = fmt.Sprintf("moved-%d.example", label)
		}
		list = append(list, fmt.Sprintf(`{"name":"tenant-%d","host":%q,"prefix":"/","kind":"streamed","timeout_ms":10000,"target_ms":1000,"gap_ms":300,"urgency":%d,"tries":2,"shares":[{"model":"m","weight":1}]}`, index, host, index%3))
	}
	return []byte(fmt.Sprintf(`{"label":%d,"whole":{"placements":{"m":{"version":"any"}}},"engines":{"m":{"probe_path":"/"}},"routes":[%s],"regions":{"a":{"zones":{"a-1":{}}}}}`, label, strings.Join(list, ",")))
}

// newTestIssuer is an office that has seen the documents, under serials from 1 on.
func newTestIssuer(t *testing.T, documents ...[]byte) *Office {
	t.Helper()
	issuer := &Office{Options: Options{World: loop.NewMachine()}}
	for index, document := range documents {
		if err := issuer.applyConfig(uint64(index+1), Config{Document: document, Evacuated: []string{"a-1"}[:index%2]}); err != nil {
			t.Fatal(err)
		}
	}
	return issuer
}

func (issuer *Office) mustFetch(t *testing.T, serial, base uint64) *Edition {
	t.Helper()
	edition := &Edition{}
	if err := issuer.Fetch(Want{Serial: serial, Base: base}, edition); err != nil || edition.Serial < serial {
		t.Fatal(edition.Serial, err)
	}
	return edition
}

// TestEditions: an edition against any configuration that is held gives the one that was
// decided, and is as small as what differs; whoever has none gets it whole.
func TestEditions(t *testing.T) {
	var documents [][]byte
	for label := range 6 {
		documents = append(documents, routesDocument(label, 21000, 3000*label+1))
	}
	issuer := newTestIssuer(t, documents...)
	for base := range uint64(6) {
		edition := issuer.mustFetch(t, 6, base)
		var chunks []*settings.Chunk
		if base > 0 {
			tree, problems := settings.Parse(documents[base-1])
			if len(problems) > 0 {
				t.Fatal(problems)
			}
			chunks = tree.Chunks()
		}
		tree, err := edition.assemble(chunks)
		if err != nil || !bytes.Equal(tree.Document(), documents[5]) {
			t.Fatalf("against %d: %v", base, err)
		}
		size := len(edition.Index) + len(edition.Texts)
		t.Logf("against %d: %d bytes for a document of %d in %d chunks", base, size, len(documents[5]), len(tree.Chunks()))
		if base > 0 && size > 1000 || base == 0 && size < 10000 {
			t.Errorf("against %d: %d bytes", base, size)
		}
		if again := issuer.mustFetch(t, 0, base); &again.Index[0] != &edition.Index[0] {
			t.Error("it is packed anew for each who asks")
		}
	}
	none := &Edition{}
	if err := (&Office{}).Fetch(Want{}, none); err != nil || none.Serial != 0 {
		t.Error("an office that knows none gives one", err)
	}
	if odd := issuer.mustFetch(t, 6, 77); odd.Base != 0 {
		t.Error("an edition against what is not kept")
	}
}

// TestNoMix: nothing is put together that is not what was decided, whatever was spoiled:
// an edition, or what is held; and nothing of it makes a daemon fall over.
func TestNoMix(t *testing.T) {
	documents := [][]byte{routesDocument(1, 400, 7), routesDocument(2, 400, 300), routesDocument(3, 380, 20)}
	issuer := newTestIssuer(t, documents...)
	chunksOf := func(at int) []*settings.Chunk {
		tree, _ := settings.Parse(documents[at])
		return tree.Chunks()
	}
	random := rand.New(rand.NewPCG(2, 1))
	corrupt := func(text []byte) []byte {
		if len(text) == 0 {
			return []byte{1}
		}
		out := slices.Clone(text)
		switch at := random.IntN(len(out)); random.IntN(3) {
		case 0:
			out[at] ^= 1 << random.IntN(8)
		case 1:
			out = slices.Delete(out, at, at+1)
		default:
			out = out[:at]
		}
		return out
	}
	count := 0
	check := func(damage string, edition Edition, base []*settings.Chunk) {
		if tree, err := edition.assemble(base); err == nil && !bytes.Equal(tree.Document(), documents[2]) {
			t.Errorf("mix: %s: another configuration than was decided", damage)
		} else if err != nil {
			count++
		}
	}
	for round := range 600 {
		base := uint64(round % 3)
		var chunks []*settings.Chunk
		if base > 0 {
			chunks = chunksOf(int(base) - 1)
		}
		edition := *issuer.mustFetch(t, 3, base)
		switch round / 3 % 4 {
		case 0:
			edition.Index = corrupt(edition.Index)
			check("spoiled index", edition, chunks)
		case 1:
			edition.Texts = corrupt(edition.Texts)
			check("spoiled texts", edition, chunks)
		case 2:
			edition.Evacuated = []string{"b-1"}
			check("other zones", edition, chunks)
			if _, err := edition.assemble(chunks); err == nil {
				t.Error("mix: other evacuated zones than were decided")
			}
		case 3:
			if base == 0 {
				continue
			}
			chunk := chunks[random.IntN(len(chunks))]
			chunk.Text = strings.Replace(chunk.Text, "1000", "1001", 1) // of the same length
			check("what is held is spoiled", edition, chunks)
			check("another base is held", edition, chunksOf(2-int(base)))
		}
	}
	if count < 300 {
		t.Errorf("vacuous: only %d were spoiled", count)
	}
}

// TestKeptEditions: an office keeps the last configurations to tell later ones against, no
// more of them than edited, and not more bytes than another newest has.
func TestKeptEditions(t *testing.T) {
	var small, large [][]byte
	for label := range maxVersions + 9 {
		small = append(small, routesDocument(label, 500, label))
	}
	issuer := newTestIssuer(t, small...)
	if len(issuer.versions) != maxVersions || len(issuer.editions) > 1 {
		t.Errorf("%d configurations are kept", len(issuer.versions))
	}
	if edition := issuer.mustFetch(t, maxVersions+9, 10); edition.Base != 10 {
		t.Error("one that is kept is told whole")
	}
	for label := range 9 {
		large = append(large, []byte(strings.ReplaceAll(string(routesDocument(label, 8000, label)), "tenant", fmt.Sprint("t", label))))
	}
	issuer = newTestIssuer(t, large...)
	if len(issuer.versions) > 2 {
		t.Errorf("%d configurations are kept that have nothing in common", len(issuer.versions))
	}
	if edition := issuer.mustFetch(t, 9, 1); edition.Base != 0 {
		t.Error("an edition against what is not kept")
	}
}

// TestOffersBringEvacuations: what an evacuation offers is gone by at once, with nothing
// fetched; a changed route is not brought, nor what is told against another configuration.
func TestOffersBringEvacuations(t *testing.T) {
	issuer := newTestIssuer(t, routesDocument(0, 300, 1), routesDocument(0, 300, 1))
	edition := issuer.offerEdition(2)
	if edition == nil || edition.Base != 1 {
		t.Fatalf("an evacuation is not brought: %+v", edition)
	}
	tree, problems := settings.Parse(routesDocument(0, 300, 1))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	world := loop.NewMachine()
	holder := NewHolder(HolderOptions{World: world, Self: func() session.Member { return session.Member{Incarnation: "i"} }})
	holder.view.Store(&View{Serial: 1, Tree: tree, Expiry: loop.Forever})
	reply := &Taken{}
	if err := holder.Take(Offer{Serial: 2, Edition: edition, Patience: time.Second}, reply); err != nil || reply.Serial != 2 {
		t.Fatalf("taken %+v: %v", reply, err)
	}
	if view := holder.View(); view.Serial != 2 || !view.Evacuated["a-1"] {
		t.Errorf("goes by %d, %v evacuated", view.Serial, view.Evacuated)
	}
	if offer := (Offer{Serial: 3, Edition: edition}); offer.assemble(holder.View()) != nil {
		t.Error("an older configuration than was offered is gone by")
	}
	if offer := (Offer{Serial: 2, Edition: edition}); offer.assemble(&View{Serial: 7, Tree: tree}) != nil {
		t.Error("an edition is put together with another configuration than it was told against")
	}
	if issuer.offerEdition(1) != nil {
		t.Error("a configuration that is not the newest is brought")
	}
	if changed := newTestIssuer(t, routesDocument(0, 300, 1), routesDocument(1, 300, 1)); changed.offerEdition(2) != nil {
		t.Error("a changed route is brought, which each holder fetches once")
	}
}
