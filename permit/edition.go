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

// configDigest is the digest of a whole configuration as data daemons go by it.
func configDigest(chunks []*settings.Chunk, evacuated []string) (out [sha256.Size]byte) {
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

// indexEntry is one chunk's in an index.
type indexEntry struct {
	Digest settings.Digest
	Length uint32
}

func encodeIndex(chunks []*settings.Chunk) []byte {
	var out []byte
	for _, chunk := range chunks {
		out = append(out, chunk.Digest[:]...)
		out = binary.BigEndian.AppendUint32(out, uint32(len(chunk.Text)))
	}
	return out
}

func chunksByDigest(chunks []*settings.Chunk) map[settings.Digest]*settings.Chunk {
	out := make(map[settings.Digest]*settings.Chunk, len(chunks))
	for _, chunk := range chunks {
		out[chunk.Digest] = chunk
	}
	return out
}

// removedTexts are the texts of the base's chunks that the index has no more: what new chunks are
// likely to be made from. They are not nil where there is a base.
func removedTexts(base []*settings.Chunk, isKept func(settings.Digest) bool) []byte {
	if base == nil {
		return nil
	}
	out := []byte{}
	for _, chunk := range base {
		if !isKept(chunk.Digest) {
			out = append(out, chunk.Text...)
		}
	}
	return out
}

// newEdition makes an edition of chunks for one who has those of the base, or none.
func newEdition(chunks, base []*settings.Chunk) *Edition {
	baseChunks, newChunks := chunksByDigest(base), chunksByDigest(chunks)
	var texts strings.Builder
	for _, chunk := range chunks {
		if baseChunks[chunk.Digest] == nil {
			texts.WriteString(chunk.Text)
		}
	}
	var index []byte
	if base != nil {
		index = encodeIndex(base)
	}
	return &Edition{
		Index: wire.Pack(encodeIndex(chunks), index),
		Texts: wire.Pack([]byte(texts.String()), removedTexts(base, func(digest settings.Digest) bool { return newChunks[digest] != nil })),
	}
}

// assemble gives the tree of an edition, by the chunks of the base that it names. The
// error tells why it can't be.
func (edition *Edition) assemble(base []*settings.Chunk) (*settings.Tree, error) {
	var index []byte
	if base != nil {
		index = encodeIndex(base)
	}
	indexData, err := wire.Unpack(edition.Index, index)
	if err != nil {
		return nil, err
	}
	entries := make([]indexEntry, len(indexData)/binary.Size(indexEntry{}))
	if _, err := binary.Decode(indexData, binary.BigEndian, entries); err != nil {
		return nil, fmt.Errorf("the index of chunks can't be read: %w", err)
	}
	isInIndex := make(map[settings.Digest]bool, len(entries))
	for _, item := range entries {
		isInIndex[item.Digest] = true
	}
	texts, err := wire.Unpack(edition.Texts, removedTexts(base, func(digest settings.Digest) bool { return isInIndex[digest] }))
	if err != nil {
		return nil, err
	}
	baseChunks := chunksByDigest(base)
	chunks := make([]*settings.Chunk, 0, len(entries))
	for _, item := range entries {
		chunk := baseChunks[item.Digest]
		if chunk == nil {
			if int(item.Length) > len(texts) {
				return nil, fmt.Errorf("chunk %x did not come", item.Digest)
			}
			chunk = settings.NewChunk(string(texts[:item.Length]))
			texts = texts[item.Length:]
		}
		chunks = append(chunks, chunk)
	}
	if configDigest(chunks, edition.Evacuated) != edition.Sum {
		return nil, fmt.Errorf("the chunks put together are not what was decided")
	}
	tree, problems := settings.Assemble(chunks)
	if len(problems) > 0 {
		return nil, problems
	}
	return tree, nil
}

// maxVersions is how many configurations an office keeps the chunks of, to tell later ones
// against. As chunks are shared, one costs what its successor has otherwise; together
// they are no more than another newest, or editedBytes.
const (
	maxVersions     = 64
	maxVersionBytes = 1 << 20
)

// configVersion is a configuration that an office has seen.
type configVersion struct {
	serial       uint64
	chunks       []*settings.Chunk
	evacuated    []string
	droppedBytes int // bytes of its chunks that its successor has not
}

// keepVersion keeps the chunks of the configuration that was just taken, and forgets the oldest
// beyond what edited and editedBytes say. Who holds the guard calls it.
func (issuer *Office) keepVersion() {
	newest := configVersion{serial: issuer.serial, chunks: issuer.tree.Chunks(), evacuated: issuer.config.Evacuated}
	whole := 0
	for _, chunk := range newest.chunks {
		whole += len(chunk.Text)
	}
	if count := len(issuer.versions); count > 0 {
		last, newChunks := &issuer.versions[count-1], chunksByDigest(newest.chunks)
		for _, chunk := range last.chunks {
			if newChunks[chunk.Digest] == nil {
				last.droppedBytes += len(chunk.Text)
			}
		}
	}
	issuer.versions = append(issuer.versions, newest)
	first, kept := len(issuer.versions)-1, 0
	for first > 0 && len(issuer.versions)-first < maxVersions {
		if kept += issuer.versions[first-1].droppedBytes; kept > max(whole, maxVersionBytes) {
			break
		}
		first--
	}
	issuer.versions = append([]configVersion{}, issuer.versions[first:]...)
	issuer.editions = map[uint64]*Edition{}
}

// Want is a data daemon's wish for a configuration, of the serial or a later one.
type Want struct {
	Serial uint64
	Base   uint64 // what it has and wants it told against; zero for none
}

// maxOfferBytes is the most that an edition may have to ride on offers.
const maxOfferBytes = 2048

// offerEdition is the edition of the serial for offers, against the configuration before it: an
// evacuation, which changes no chunk. Nil for all others, each of which every holder fetches
// once, near it, and where the newest one here is another.
func (issuer *Office) offerEdition(serial uint64) *Edition {
	issuer.mutex.Lock()
	count := len(issuer.versions)
	if count < 2 || issuer.serial != serial {
		issuer.mutex.Unlock()
		return nil
	}
	base := issuer.versions[count-2].serial
	isSame := sameChunks(issuer.versions[count-2].chunks, issuer.versions[count-1].chunks)
	issuer.mutex.Unlock()
	if !isSame {
		return nil
	}
	edition := new(Edition)
	if issuer.Fetch(Want{Serial: serial, Base: base}, edition) != nil || edition.Serial != serial || edition.Base != base {
		return nil
	}
	if len(edition.Index)+len(edition.Texts) > maxOfferBytes {
		return nil
	}
	return edition
}

// sameChunks tells whether two configurations have the same chunks in the same order.
func sameChunks(a, b []*settings.Chunk) bool {
	return slices.EqualFunc(a, b, func(x, y *settings.Chunk) bool { return x.Digest == y.Digest })
}

// Fetch gives the newest configuration, packed once for all who have the same base, and
// whole if that one is not kept. Serial is zero if there is none as new as is wanted.
func (issuer *Office) Fetch(request Want, edition *Edition) error {
	if serial, _, _ := issuer.Current(); serial < request.Serial {
		if err := issuer.Refresh(); err != nil {
			return err
		}
	}
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	if issuer.serial < request.Serial || issuer.serial == 0 {
		return nil
	}
	var baseChunks []*settings.Chunk
	for index := range issuer.versions {
		if version := &issuer.versions[index]; version.serial == request.Base {
			baseChunks = version.chunks
		}
	}
	if baseChunks == nil {
		request.Base = 0
	}
	packed := issuer.editions[request.Base]
	if packed == nil {
		last := &issuer.versions[len(issuer.versions)-1]
		packed = newEdition(last.chunks, baseChunks)
		packed.Serial, packed.Base, packed.Evacuated, packed.Sum = last.serial, request.Base, last.evacuated, configDigest(last.chunks, last.evacuated)
		issuer.editions[request.Base] = packed
	}
	*edition = *packed
	return nil
}
