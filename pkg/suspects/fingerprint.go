package suspects

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is the size of a fingerprint in bytes. Two different requests have the same one with a probability below 2^-100.
const fingerprintSize = 16

// Fingerprint stands for all requests that are alike. The parts of a request cannot be recovered from it, so that it may leave the home
// regions of the request.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a request with these parts.
func FingerprintOf(parts ...[]byte) Fingerprint {
	digest := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write(part)
	}
	return Fingerprint(digest.Sum(nil)[:fingerprintSize])
}

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
