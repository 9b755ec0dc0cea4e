package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the length of the truncated SHA-256. It has to stay collision resistant,
// since callers choose the input.
const digestBytes = 16

// Digest identifies equal requests across retries and processes: those of one tenant with
// the same host, target and body, whatever their request ids. It is lower-case hexadecimal.
type Digest string

// Valid reports whether d has the form that Identity.Digest returns.
func (d Digest) Valid() bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == digestBytes
}

// Identity is the input of a Digest.
type Identity struct {
	Tenant string // empty for requests without a tenant
	Host   string
	Target string // path and query, escaped
	Body   []byte
}

// Digest returns the digest of the identity. It includes the tenant, so that a request of
// one tenant never quarantines an equal request of another.
func (i Identity) Digest() Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(i.Tenant), []byte(i.Host), []byte(i.Target), i.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)[:digestBytes]))
}
