package permit

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"swifttiller/settings"
	"swifttiller/wire"
)

// Edition is a configuration on its way to a data daemon: a delta against the one that
// the daemon has under the serial Base; zero for none.
//
// Invariant: nobody goes by an edition whose chunks, put together, don't have the digest
// Sum. So no daemon goes by a mix of two serials, whatever it held before.
type Edition struct {
	Serial, Base uint64
	Sum          [sha256.Size]byte // of the whole
	// Index has the digest and length of each chunk, packed against the base's index;
	// Texts the chunks that are not in the base, packed against those of the base that
	// are no more.
	Index, Texts []byte
	Evacuated    []string
}

// sumOf is the digest of a whole configuration as data daemons go by it.
func sumOf(chunks []*settings.Chunk, evacuated []string) (out [sha256.Size]byte) {
	sum := sha256.New()
	buffer := bufio.NewWriter(sum) // strings get into it without a copy of their own
	write := func(text string) {
		_ = binary.Write(buffer, binary.BigEndian, uint64(len(text)))
		_, _ = buffer.WriteString(text)
	}
	for _, chunk := range chunks {
		write(chunk.Text)
	}
	for _, zone := range evacuated {
		write(zone)
	}
	_ = buffer.Flush()
	sum.Sum(out[:0])
	return out
}

// entry is one chunk's in an index.
type entry struct {
	Digest settings.Digest
	Length uint32
}

func indexOf(chunks []*settings.Chunk) []byte {
	var out []byte
	for _, chunk := range chunks {
		out = append(out, chunk.Digest[:]...)
		out = binary.BigEndian.AppendUint32(out, uint32(len(chunk.Text)))
	}
	return out
}

func digestsOf(chunks []*settings.Chunk) map[settings.Digest]*settings.Chunk {
	out := make(map[settings.Digest]*settings.Chunk, len(chunks))
	for _, chunk := range chunks {
		out[chunk.Digest] = chunk
	}
	return out
}

// gone are the texts of the base's chunks that the index has no more: what new chunks are
// likely to be made from. They are not nil where there is a base.
func gone(base []*settings.Chunk, isIn func(settings.Digest) bool) []byte {
	if base == nil {
		return nil
	}
	out := []byte{}
	for _, chunk := range base {
		if !isIn(chunk.Digest) {
			out = append(out, chunk.Text...)
		}
	}
	return out
}

// edit makes an edition of chunks for one who has those of the base, or none.
func edit(chunks, base []*settings.Chunk) *Edition {
	have, next := digestsOf(base), digestsOf(chunks)
	var texts strings.Builder
	for _, chunk := range chunks {
		if have[chunk.Digest] == nil {
			texts.WriteString(chunk.Text)
		}
	}
	var index []byte
	if base != nil {
		index = indexOf(base)
	}
	return &Edition{
		Index: wire.Pack(indexOf(chunks), index),
		Texts: wire.Pack([]byte(texts.String()), gone(base, func(digest settings.Digest) bool { return next[digest] != nil })),
	}
}

// assemble gives the tree of an edition, by the chunks of the base that it names. The
// error tells why it can't be.
func (edition *Edition) assemble(base []*settings.Chunk) (*settings.Tree, error) {
	var index []byte
	if base != nil {
		index = indexOf(base)
	}
	text, err := wire.Unpack(edition.Index, index)
	if err != nil {
		return nil, err
	}
	entries := make([]entry, len(text)/binary.Size(entry{}))
	if _, err := binary.Decode(text, binary.BigEndian, entries); err != nil {
		return nil, fmt.Errorf("the index of chunks can't be read: %w", err)
	}
	isIn := make(map[settings.Digest]bool, len(entries))
	for _, one := range entries {
		isIn[one.Digest] = true
	}
	texts, err := wire.Unpack(edition.Texts, gone(base, func(digest settings.Digest) bool { return isIn[digest] }))
	if err != nil {
		return nil, err
	}
	have := digestsOf(base)
	chunks := make([]*settings.Chunk, 0, len(entries))
	for _, one := range entries {
		chunk := have[one.Digest]
		if chunk == nil {
			if int(one.Length) > len(texts) {
				return nil, fmt.Errorf("chunk %x did not come", one.Digest)
			}
			chunk = settings.NewChunk(string(texts[:one.Length]))
			texts = texts[one.Length:]
		}
		chunks = append(chunks, chunk)
	}
	if sumOf(chunks, edition.Evacuated) != edition.Sum {
		return nil, fmt.Errorf("the chunks put together are not what was decided")
	}
	tree, problems := settings.Assemble(chunks)
	if len(problems) > 0 {
		return nil, problems
	}
	return tree, nil
}

// edited is how many configurations an office keeps the chunks of, to tell later ones
// against. As chunks are shared, one costs what its successor has otherwise; together
// they are no more than another newest, or editedBytes.
const (
	edited      = 64
	editedBytes = 1 << 20
)

// issue is a configuration that an office has seen.
type issue struct {
	serial    uint64
	chunks    []*settings.Chunk
	evacuated []string
	dropped   int // bytes of its chunks that its successor has not
}

// issue keeps the chunks of the configuration that was just taken, and forgets the oldest
// beyond what edited and editedBytes say. Who holds the guard calls it.
func (office *Office) issue() {
	fresh := issue{serial: office.serial, chunks: office.tree.Chunks(), evacuated: office.config.Evacuated}
	whole := 0
	for _, chunk := range fresh.chunks {
		whole += len(chunk.Text)
	}
	if count := len(office.issues); count > 0 {
		last, isIn := &office.issues[count-1], digestsOf(fresh.chunks)
		for _, chunk := range last.chunks {
			if isIn[chunk.Digest] == nil {
				last.dropped += len(chunk.Text)
			}
		}
	}
	office.issues = append(office.issues, fresh)
	first, kept := len(office.issues)-1, 0
	for first > 0 && len(office.issues)-first < edited {
		if kept += office.issues[first-1].dropped; kept > max(whole, editedBytes) {
			break
		}
		first--
	}
	office.issues = append([]issue{}, office.issues[first:]...)
	office.editions = map[uint64]*Edition{}
}

// Want is a data daemon's wish for a configuration, of the serial or a later one.
type Want struct {
	Serial uint64
	Base   uint64 // what it has and wants it told against; zero for none
}

// carriedBytes is the most that an edition may have to ride on offers.
const carriedBytes = 2048

// carried is the edition of the serial for offers, against the configuration before it: an
// evacuation, which changes no chunk. Nil for all others, each of which every holder fetches
// once, near it, and where the newest one here is another.
func (issuer *Office) carried(serial uint64) *Edition {
	issuer.guard.Lock()
	count := len(issuer.issues)
	if count < 2 || issuer.serial != serial {
		issuer.guard.Unlock()
		return nil
	}
	base := issuer.issues[count-2].serial
	isSame := areSame(issuer.issues[count-2].chunks, issuer.issues[count-1].chunks)
	issuer.guard.Unlock()
	if !isSame {
		return nil
	}
	edition := new(Edition)
	if issuer.Fetch(Want{Serial: serial, Base: base}, edition) != nil || edition.Serial != serial || edition.Base != base {
		return nil
	}
	if len(edition.Index)+len(edition.Texts) > carriedBytes {
		return nil
	}
	return edition
}

// areSame tells whether two configurations have the same chunks in the same order.
func areSame(a, b []*settings.Chunk) bool {
	return slices.EqualFunc(a, b, func(one, other *settings.Chunk) bool { return one.Digest == other.Digest })
}

// Fetch gives the newest configuration, packed once for all who have the same base, and
// whole if that one is not kept. Serial is zero if there is none as new as is wanted.
func (office *Office) Fetch(want Want, edition *Edition) error {
	if serial, _, _ := office.Current(); serial < want.Serial {
		if err := office.Refresh(); err != nil {
			return err
		}
	}
	office.guard.Lock()
	defer office.guard.Unlock()
	if office.serial < want.Serial || office.serial == 0 {
		return nil
	}
	var has []*settings.Chunk
	for index := range office.issues {
		if one := &office.issues[index]; one.serial == want.Base {
			has = one.chunks
		}
	}
	if has == nil {
		want.Base = 0
	}
	one := office.editions[want.Base]
	if one == nil {
		last := &office.issues[len(office.issues)-1]
		one = edit(last.chunks, has)
		one.Serial, one.Base, one.Evacuated, one.Sum = last.serial, want.Base, last.evacuated, sumOf(last.chunks, last.evacuated)
		office.editions[want.Base] = one
	}
	*edition = *one
	return nil
}
