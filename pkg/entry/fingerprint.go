package entry

import (
	"strconv"

	"almondrock.example/almondrock/pkg/suspects"
)

// fingerprint returns the fingerprint of the request: what a caller sends again when it repeats it. It may be called by any goroutine.
func (x *exchange) fingerprint() suspects.Fingerprint {
	x.fingerprintOnce.Do(func() {
		parts := [][]byte{[]byte(x.r.Method), []byte(x.r.Host), []byte(requestURI(x.r)), x.requestBody.prefix}
		if x.requestBody.rest != nil {
			parts = append(parts, strconv.AppendInt(nil, x.requestBody.length, 10))
		}
		for _, name := range x.host.options.Protocol.CallerHeaders {
			for _, value := range x.r.Header[name] {
				parts = append(parts, []byte(name), []byte(value))
			}
		}
		x.requestFingerprint = suspects.FingerprintOf(parts...)
	})
	return x.requestFingerprint
}
