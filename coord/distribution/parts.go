package distribution

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"shaletrestle/coord/deflate"
	"shaletrestle/coord/distribution/distributionpb"
)

// Part is one part of a state: its content under a name. Neither changes after the part was made.
type Part struct {
	Name    string
	Content []byte
}

// PartitionedState is a State that is sent in parts, so that a follower gets only those in which it differs. Its methods
// are called as those of State.
type PartitionedState interface {
	State
	// Parts gives the whole state, in parts with different names, sorted by them. Equal states give equal parts.
	Parts() []Part
	// RestoreParts replaces the state by the one whose parts are given, or returns an error and leaves it as it is.
	RestoreParts(parts []Part) error
}

const digestBytes = 16

// digest identifies a content: the first half of its SHA-256.
type digest [digestBytes]byte

func digestOf(content []byte) digest {
	sum := sha256.Sum256(content)
	return digest(sum[:digestBytes])
}

// partDigest is a part by its digest.
type partDigest struct {
	name   string
	digest digest
}

// manifest lists the parts of a state by their digests, sorted by name. nil stands for a state without parts.
type manifest []partDigest

func manifestOf(parts []Part) manifest {
	m := make(manifest, len(parts))
	for i, part := range parts {
		m[i] = partDigest{part.Name, digestOf(part.Content)}
	}
	return m
}

// digest identifies the state that the manifest is of.
func (m manifest) digest() digest { return digestOf(m.encode()) }

// has reports whether a part of this name and digest is listed.
func (m manifest) has(part partDigest) bool {
	i, found := slices.BinarySearchFunc(m, part.name, func(listed partDigest, name string) int { return cmp.Compare(listed.name, name) })
	return found && m[i].digest == part.digest
}

func (m manifest) message() *distributionpb.Manifest {
	message := &distributionpb.Manifest{}
	for _, part := range m {
		message.Parts = append(message.Parts, &distributionpb.PartDigest{Name: part.name, Digest: part.digest[:]})
	}
	return message
}

// encode gives the manifest's bytes, never nil.
func (m manifest) encode() []byte {
	encoded, _ := proto.MarshalOptions{Deterministic: true}.MarshalAppend([]byte{}, m.message()) // fails only for names that are no UTF-8
	return encoded
}

func decodeManifest(encoded []byte) (manifest, error) {
	var message distributionpb.Manifest
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return nil, errors.Wrapf(ErrInvalidSnapshot, "%v", err)
	}
	return manifestFrom(&message)
}

// manifestFrom reads a manifest, whose parts must be sorted and have different names.
func manifestFrom(message *distributionpb.Manifest) (manifest, error) {
	m := manifest{}
	for i, part := range message.GetParts() {
		if len(part.Digest) != digestBytes {
			return nil, errors.Wrapf(ErrInvalidSnapshot, "digest of %d bytes", len(part.Digest))
		}
		if i > 0 && part.Name <= m[i-1].name {
			return nil, errors.Wrapf(ErrInvalidSnapshot, "part %q after %q", part.Name, m[i-1].name)
		}
		m = append(m, partDigest{part.Name, digest(part.Digest)})
	}
	return m, nil
}

// partialSnapshot is a state at one position, for a follower that has some of its parts already.
type partialSnapshot struct {
	complete manifest // of the whole state
	parts    []Part   // those that the follower lacks
}

// encodePartialSnapshot gives the body of a message with what a follower lacks that has the parts of a manifest.
func encodePartialSnapshot(parts []Part, complete, have manifest) []byte {
	message := &distributionpb.PartialSnapshot{Manifest: complete.message()}
	for i, part := range parts {
		if !have.has(complete[i]) {
			message.Parts = append(message.Parts, &distributionpb.Part{Name: part.Name, Content: part.Content})
		}
	}
	encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message) // as in manifest.encode
	return deflate.Compress(encoded)
}

// decodePartialSnapshot reads a message's body. The error is ErrInvalidSnapshot or one of package deflate.
func decodePartialSnapshot(body []byte) (*partialSnapshot, error) {
	encoded, err := deflate.Decompress(body, decodedLimitBytes)
	if err != nil {
		return nil, err
	}
	var message distributionpb.PartialSnapshot
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return nil, errors.Wrapf(ErrInvalidSnapshot, "%v", err)
	}
	complete, err := manifestFrom(message.Manifest)
	if err != nil {
		return nil, err
	}
	partial := &partialSnapshot{complete: complete}
	for _, part := range message.Parts {
		partial.parts = append(partial.parts, Part{part.Name, part.Content})
	}
	return partial, nil
}

// assemble gives all parts of the state: those that were sent, and those of the own state that need not be. The error is
// ErrInvalidSnapshot if a part is neither here nor sent, is not the one that the manifest names, or is not in it.
func (s *partialSnapshot) assemble(own []Part) ([]Part, error) {
	sent := map[string]Part{}
	for _, part := range s.parts {
		sent[part.Name] = part
	}
	kept := map[string]Part{}
	for _, part := range own {
		kept[part.Name] = part
	}
	whole := make([]Part, 0, len(s.complete))
	for _, listed := range s.complete {
		part, isSent := sent[listed.name]
		if !isSent {
			part = kept[listed.name]
		}
		delete(sent, listed.name)
		if part.Name == "" || digestOf(part.Content) != listed.digest {
			return nil, errors.Wrapf(ErrInvalidSnapshot, "part %q, sent: %t, is not the one listed", listed.name, isSent)
		}
		whole = append(whole, part)
	}
	if len(sent) > 0 {
		return nil, errors.Wrapf(ErrInvalidSnapshot, "%d parts that are not listed", len(sent))
	}
	return whole, nil
}
