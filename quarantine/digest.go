package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the length of the truncated SHA-256. It has to stay collision resistant,
// since callers choose the input.
const digestBytes = 16

// Digest identifies what may crash workers across requests and processes: equal requests (Identity)
// or a part of their prompts (PartIdentity). It is lower-case hexadecimal.
type Digest string

// Valid reports whether d has the form that Identity.Digest returns.
func (d Digest) Valid() bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == digestBytes
}

// Identity identifies equal requests: those of one tenant with the same host, target and body,
// whatever their request IDs.
type Identity struct {
	Tenant string // empty for requests without a tenant
	Host   string
	Target string // path and query, escaped
	Body   []byte
}

// Digest returns the digest of the identity. It includes the tenant, so that a request of
// one tenant never quarantines an equal request of another.
func (i Identity) Digest() Digest {
	return digestOf([]byte(i.Tenant), []byte(i.Host), []byte(i.Target), i.Body)
}

// PartIdentity identifies a part that the prompts of a tenant's requests to a service share.
type PartIdentity struct {
	Tenant  string // empty for requests without a tenant
	Service string
	Part    string // ID of the part
}

// Digest returns the digest of the identity. It includes the tenant, like that of a request. It
// differs from the digests of all requests, which have more fields.
func (i PartIdentity) Digest() Digest {
	return digestOf([]byte(i.Tenant), []byte(i.Service), []byte(i.Part))
}

func digestOf(fields ...[]byte) Digest {
	hash := sha256.New()
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)[:digestBytes]))
}

// MaxParts is the number of parts of one prompt that are considered, since callers choose how many
// there are.
const MaxParts = 16

// PartDigests returns the digests of the parts that a tenant's prompt shares with others, in the
// order of the prompt: all but the last, which belongs to the request itself.
func PartDigests(tenant, service string, parts []string) []Digest {
	shared := parts[:min(max(len(parts)-1, 0), MaxParts)]
	digests := make([]Digest, 0, len(shared))
	for _, part := range shared {
		digests = append(digests, PartIdentity{Tenant: tenant, Service: service, Part: part}.Digest())
	}
	return digests
}
