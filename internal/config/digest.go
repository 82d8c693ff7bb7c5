package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"strconv"
)

// DigestBytes is the size of a change's digest. Digests are stored: it stays as it is.
const DigestBytes = 16

// Digest identifies a change of the configuration: it is equal for bodies that differ only in the spacing of their JSON
// or the order of its keys. A body that is no single complete object has the digest of its bytes. The kind is the stored
// one of the event.
func Digest(kind string, base int64, body []byte) []byte {
	digest, _ := Identify(kind, base, body)
	return digest
}

// Identify gives the digest of a change, and an [InvalidError] if its body is no single complete object in which no key
// stands twice: such a change is invalid on any configuration.
func Identify(kind string, base int64, body []byte) (digest []byte, malformed error) {
	_, malformed = parseObject(body)
	if malformed == nil {
		body = canonical(body)
	}
	hash := sha256.New()
	hash.Write([]byte(kind + "\x00" + strconv.FormatInt(base, 10) + "\x00"))
	hash.Write(body)
	return hash.Sum(nil)[:DigestBytes], malformed
}

// canonical gives a JSON object without spaces and with sorted keys; numbers stay as they are written.
func canonical(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil {
		return body
	}
	sorted, err := json.Marshal(value)
	if err != nil {
		return body
	}
	return sorted
}
