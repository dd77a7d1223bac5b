// Package authenticator checks the bearer keys of operators, backend servers and bronzelead's
// own processes. Keys are compared by their digests, in constant time.
package authenticator

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// ClusterOwner is the owner of the key that the system's own processes use.
const ClusterOwner = "Cluster"

// Digest is the SHA-256 of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal digits, as in contracts and files.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses a digest in hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(strings.ToLower(text))
	if err != nil || len(raw) != sha256.Size {
		// The text is not shown: it may be the key itself, entered by mistake.
		return Digest{}, errors.New("authenticator: a digest is a SHA-256 in 64 hexadecimal digits")
	}
	return Digest(raw), nil
}

// Equal compares two digests in constant time.
func (d Digest) Equal(other Digest) bool { return subtle.ConstantTimeCompare(d[:], other[:]) == 1 }

// ReadKey reads a key from the first line of a file.
func ReadKey(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "authenticator: read key")
	}
	key := strings.TrimSpace(strings.SplitN(string(data), "\n", 2)[0])
	if key == "" {
		return "", errors.Errorf("authenticator: file %s holds no key", file)
	}
	return key, nil
}

// Keyring maps the digests of keys to the names of their owners.
type Keyring map[Digest]string

// ReadKeyring reads a file with a name and a digest on each line.
func ReadKeyring(file string) (Keyring, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "authenticator: read ring")
	}
	defer func() { _ = f.Close() }()
	keyring := Keyring{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, errors.Errorf("authenticator: %s: want a name and a digest in each line", file)
		}
		digest, err := ParseDigest(fields[1])
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		keyring[digest] = fields[0]
	}
	return keyring, errors.Wrap(lines.Err(), "authenticator: read ring")
}

// Owner returns the owner of a key, or "".
func (r Keyring) Owner(key string) string {
	digest := DigestOf(key)
	owner := ""
	for known, name := range r {
		if known.Equal(digest) {
			owner = name
		}
	}
	return owner
}

// BearerKey returns the key that a request carries, or "".
func BearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

type ownerKey struct{}

// Require passes on only requests with a key of the keyring. The refusal does not reveal why
// the key is invalid.
func Require(keyring Keyring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		owner := keyring.Owner(BearerKey(r))
		if owner == "" {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"code":"unauthenticated","msg":"a valid key is required"}`))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), ownerKey{}, owner)))
	})
}

// OwnerFrom returns the owner of the key of a request, or "".
func OwnerFrom(ctx context.Context) string {
	owner, _ := ctx.Value(ownerKey{}).(string)
	return owner
}
