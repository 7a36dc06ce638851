package lease

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

// routesDocument returns a document with the routes of count tenants, of which the one with
// the index moved has another host.
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

// newTestIssuer returns a lease issuer that has seen the documents, with versions from 1
// on.
func newTestIssuer(t *testing.T, documents ...[]byte) *Issuer {
	t.Helper()
	issuer := &Issuer{IssuerOptions: IssuerOptions{World: loop.NewMachine()}}
	for index, document := range documents {
		if err := issuer.applyConfig(uint64(index+1), Config{Document: document, Evacuated: []string{"a-1"}[:index%2]}); err != nil {
			t.Fatal(err)
		}
	}
	return issuer
}

func (issuer *Issuer) mustFetch(t *testing.T, serial, base uint64) *ConfigUpdate {
	t.Helper()
	update := &ConfigUpdate{}
	if err := issuer.Fetch(FetchRequest{Serial: serial, Base: base}, update); err != nil || update.Serial < serial {
		t.Fatal(update.Serial, err)
	}
	return update
}

// TestConfigUpdates guards against deltas that don't reproduce the decided configuration, from
// whatever base that the issuer keeps, or that are larger than the difference. Holders
// without a base get the configuration in full.
func TestConfigUpdates(t *testing.T) {
	var documents [][]byte
	for label := range 6 {
		documents = append(documents, routesDocument(label, 21000, 3000*label+1))
	}
	issuer := newTestIssuer(t, documents...)
	for base := range uint64(6) {
		update := issuer.mustFetch(t, 6, base)
		var chunks []*settings.Chunk
		if base > 0 {
			tree, problems := settings.Parse(documents[base-1])
			if len(problems) > 0 {
				t.Fatal(problems)
			}
			chunks = tree.Chunks()
		}
		tree, err := update.assemble(chunks)
		if err != nil || !bytes.Equal(tree.Document(), documents[5]) {
			t.Fatalf("delta against version %d: wrong configuration or error: %v", base, err)
		}
		size := len(update.Index) + len(update.Texts)
		t.Logf("against version %d: update of %d bytes for a document of %d bytes in %d chunks", base, size, len(documents[5]), len(tree.Chunks()))
		if base > 0 && size > 1000 || base == 0 && size < 10000 {
			t.Errorf("against version %d: unexpected update size of %d bytes", base, size)
		}
		if again := issuer.mustFetch(t, 0, base); &again.Index[0] != &update.Index[0] {
			t.Error("the update is packed again for each request")
		}
	}
	none := &ConfigUpdate{}
	if err := (&Issuer{}).Fetch(FetchRequest{}, none); err != nil || none.Serial != 0 {
		t.Error("an issuer without a configuration returned one:", err)
	}
	if odd := issuer.mustFetch(t, 6, 77); odd.Base != 0 {
		t.Error("got a delta against a base that is not kept")
	}
}

// TestCorruptUpdatesAreRejected guards against a daemon that applies a configuration that was never decided,
// because the update or its own chunks were corrupted, and against panics on such input.
func TestCorruptUpdatesAreRejected(t *testing.T) {
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
	check := func(damage string, update ConfigUpdate, base []*settings.Chunk) {
		if tree, err := update.assemble(base); err == nil && !bytes.Equal(tree.Document(), documents[2]) {
			t.Errorf("mix: %s: assembled a configuration that was not decided", damage)
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
		update := *issuer.mustFetch(t, 3, base)
		switch round / 3 % 4 {
		case 0:
			update.Index = corrupt(update.Index)
			check("corrupted index", update, chunks)
		case 1:
			update.Texts = corrupt(update.Texts)
			check("corrupted texts", update, chunks)
		case 2:
			update.Evacuated = []string{"b-1"}
			check("other evacuated zones", update, chunks)
			if _, err := update.assemble(chunks); err == nil {
				t.Error("mix: accepted evacuated zones that were not decided")
			}
		case 3:
			if base == 0 {
				continue
			}
			chunk := chunks[random.IntN(len(chunks))]
			chunk.Text = strings.Replace(chunk.Text, "1000", "1001", 1) // keeps the length
			check("corrupted chunks of the holder", update, chunks)
			check("wrong base", update, chunksOf(2-int(base)))
		}
	}
	if count < 300 {
		t.Errorf("vacuous: only %d corrupted editions were rejected", count)
	}
}

// TestBasesAreBounded guards against an issuer that keeps too many old configurations as bases
// for deltas: more than maxVersions, or more bytes than the newest one has.
func TestBasesAreBounded(t *testing.T) {
	var small, large [][]byte
	for label := range maxVersions + 9 {
		small = append(small, routesDocument(label, 500, label))
	}
	issuer := newTestIssuer(t, small...)
	if len(issuer.versions) != maxVersions || len(issuer.updates) > 1 {
		t.Errorf("%d configurations are kept as bases", len(issuer.versions))
	}
	if update := issuer.mustFetch(t, maxVersions+9, 10); update.Base != 10 {
		t.Error("a configuration whose base is kept was sent in full")
	}
	for label := range 9 {
		large = append(large, []byte(strings.ReplaceAll(string(routesDocument(label, 8000, label)), "tenant", fmt.Sprint("t", label))))
	}
	issuer = newTestIssuer(t, large...)
	if len(issuer.versions) > 2 {
		t.Errorf("%d configurations are kept as bases although they share no chunks", len(issuer.versions))
	}
	if update := issuer.mustFetch(t, 9, 1); update.Base != 0 {
		t.Error("got a delta against a base that is not kept")
	}
}

// TestOffersBringEvacuations guards against evacuations that need a fetch: the offer
// carries them and they apply at once. Changed routes are not carried, and a delta against
// another base is rejected.
func TestOffersBringEvacuations(t *testing.T) {
	issuer := newTestIssuer(t, routesDocument(0, 300, 1), routesDocument(0, 300, 1))
	update := issuer.offerUpdate(2)
	if update == nil || update.Base != 1 {
		t.Fatalf("the offer does not carry the evacuation: %+v", update)
	}
	tree, problems := settings.Parse(routesDocument(0, 300, 1))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	world := loop.NewMachine()
	holder := NewHolder(HolderOptions{World: world, Self: func() session.Member { return session.Member{Incarnation: "i"} }})
	holder.view.Store(&View{Serial: 1, Tree: tree, Deadline: loop.Forever})
	reply := &OfferReply{}
	if err := holder.Take(Offer{Serial: 2, Edition: update, Patience: time.Second}, reply); err != nil || reply.Serial != 2 {
		t.Fatalf("reply to the offer: %+v, error: %v", reply, err)
	}
	if view := holder.View(); view.Serial != 2 || !view.Evacuated["a-1"] {
		t.Errorf("the holder applies version %d with evacuated zones %v", view.Serial, view.Evacuated)
	}
	if offer := (Offer{Serial: 3, Edition: update}); offer.assemble(holder.View()) != nil {
		t.Error("accepted an update older than the offered version")
	}
	if offer := (Offer{Serial: 2, Edition: update}); offer.assemble(&View{Serial: 7, Tree: tree}) != nil {
		t.Error("assembled an update with another base than its own")
	}
	if issuer.offerUpdate(1) != nil {
		t.Error("an offer carries a configuration that is not the newest")
	}
	if changed := newTestIssuer(t, routesDocument(0, 300, 1), routesDocument(1, 300, 1)); changed.offerUpdate(2) != nil {
		t.Error("an offer carries a changed route, which each holder should fetch once")
	}
}
