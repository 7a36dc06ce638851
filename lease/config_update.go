package lease

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

// ConfigUpdate is the transferred form of a configuration: a delta against the configuration of
// version Base, which the data daemon has, or all of it if Base is zero.
//
// Invariant: an update whose assembled chunks don't have the digest Sum is rejected. So no
// daemon applies a mix of two versions, whatever it had before.
type ConfigUpdate struct {
	Serial, Base uint64
	Sum          [sha256.Size]byte // of the whole configuration
	// Index has the digest and length of each chunk, packed against the index of the base.
	// Texts has the chunks that are not in the base, packed against the chunks that only
	// the base has.
	Index, Texts []byte
	Evacuated    []string
}

// configDigest returns the digest of a whole configuration as data daemons apply it.
func configDigest(chunks []*settings.Chunk, evacuated []string) (out [sha256.Size]byte) {
	sum := sha256.New()
	buffer := bufio.NewWriter(sum) // avoids copying each string
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

// indexEntry is the entry of one chunk in an index.
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

// removedTexts returns the texts of those chunks of the base that are not kept, as new
// chunks are likely to resemble them. The result is nil only without a base.
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

// newConfigUpdate returns an update with the chunks for a receiver that has the chunks of the
// base; base is nil if it has none. The caller sets the versions, the zones and the digest.
func newConfigUpdate(chunks, base []*settings.Chunk) *ConfigUpdate {
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
	return &ConfigUpdate{
		Index: wire.Compress(encodeIndex(chunks), index),
		Texts: wire.Compress([]byte(texts.String()), removedTexts(base, func(digest settings.Digest) bool { return newChunks[digest] != nil })),
	}
}

// assemble returns the configuration's tree, given the chunks of the base that the update
// names. It returns an error if the update doesn't match the base or the digest.
func (update *ConfigUpdate) assemble(base []*settings.Chunk) (*settings.Tree, error) {
	var index []byte
	if base != nil {
		index = encodeIndex(base)
	}
	indexData, err := wire.Decompress(update.Index, index)
	if err != nil {
		return nil, err
	}
	entries := make([]indexEntry, len(indexData)/binary.Size(indexEntry{}))
	if _, err := binary.Decode(indexData, binary.BigEndian, entries); err != nil {
		return nil, fmt.Errorf("cannot decode the chunk index: %w", err)
	}
	isInIndex := make(map[settings.Digest]bool, len(entries))
	for _, item := range entries {
		isInIndex[item.Digest] = true
	}
	texts, err := wire.Decompress(update.Texts, removedTexts(base, func(digest settings.Digest) bool { return isInIndex[digest] }))
	if err != nil {
		return nil, err
	}
	baseChunks := chunksByDigest(base)
	chunks := make([]*settings.Chunk, 0, len(entries))
	for _, item := range entries {
		chunk := baseChunks[item.Digest]
		if chunk == nil {
			if int(item.Length) > len(texts) {
				return nil, fmt.Errorf("chunk %x is missing", item.Digest)
			}
			chunk = settings.NewChunk(string(texts[:item.Length]))
			texts = texts[item.Length:]
		}
		chunks = append(chunks, chunk)
	}
	if configDigest(chunks, update.Evacuated) != update.Sum {
		return nil, fmt.Errorf("digest of the assembled chunks does not match the decided configuration")
	}
	tree, problems := settings.Assemble(chunks)
	if len(problems) > 0 {
		return nil, problems
	}
	return tree, nil
}

// maxVersions is how many configurations an issuer keeps the chunks of, as bases for deltas
// to later ones. As chunks are shared between versions, an old version only costs the
// chunks that its successor doesn't have. All old versions together may cost as much as the
// newest one, or maxVersionBytes if that is more.
const (
	maxVersions     = 64
	maxVersionBytes = 1 << 20
)

// configVersion is a configuration that an issuer has seen.
type configVersion struct {
	serial       uint64
	chunks       []*settings.Chunk
	evacuated    []string
	droppedBytes int // size of the chunks that its successor doesn't have
}

// keepVersion keeps the chunks of the current configuration, and drops the oldest versions
// beyond the limits of maxVersions and maxVersionBytes. The caller holds the mutex.
func (issuer *Issuer) keepVersion() {
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
	issuer.updates = map[uint64]*ConfigUpdate{}
}

// FetchRequest is a data daemon's request for a configuration, of version Serial or later.
type FetchRequest struct {
	Serial uint64
	Base   uint64 // version that it has and wants a delta against; zero for none
}

// maxOfferBytes is the largest size of an update that offers may carry.
const maxOfferBytes = 2048

// offerUpdate returns the update that offers of this version carry, against the version
// before it. Only an evacuation, which changes no chunk, is carried. For all other changes
// it returns nil, and every holder fetches them once, from an issuer near it. It also
// returns nil if this issuer's newest configuration is another one.
func (issuer *Issuer) offerUpdate(serial uint64) *ConfigUpdate {
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
	update := new(ConfigUpdate)
	if issuer.Fetch(FetchRequest{Serial: serial, Base: base}, update) != nil || update.Serial != serial || update.Base != base {
		return nil
	}
	if len(update.Index)+len(update.Texts) > maxOfferBytes {
		return nil
	}
	return update
}

// sameChunks tells whether two configurations have the same chunks in the same order.
func sameChunks(a, b []*settings.Chunk) bool {
	return slices.EqualFunc(a, b, func(x, y *settings.Chunk) bool { return x.Digest == y.Digest })
}

// Fetch returns the newest configuration as a delta against the requested base, or in full
// if that base is not kept. It is packed once for all holders with the same base. The
// version of the update is zero if there is none as new as requested.
func (issuer *Issuer) Fetch(request FetchRequest, update *ConfigUpdate) error {
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
	packed := issuer.updates[request.Base]
	if packed == nil {
		last := &issuer.versions[len(issuer.versions)-1]
		packed = newConfigUpdate(last.chunks, baseChunks)
		packed.Serial, packed.Base, packed.Evacuated, packed.Sum = last.serial, request.Base, last.evacuated, configDigest(last.chunks, last.evacuated)
		issuer.updates[request.Base] = packed
	}
	*update = *packed
	return nil
}
