package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"slices"
	"strings"

	"pollenlatch"
	"pollenlatch/conf"
)

// Token gives the holder of a secret access to the operations of a scope.
type Token struct {
	Name     string // recorded as the sender of tickets
	Secret   []byte
	Scope    conf.Scope
	Services []string // with scope conf.Tickets: services that its tickets may change
}

// credential is a token whose secret is replaced by its digest.
type credential struct {
	Token
	digest [sha256.Size]byte
}

// loopbackCredential is the credential of every client when no tokens are
// configured; the server then listens on loopback only.
var loopbackCredential = credential{Token: Token{Name: "operator", Scope: conf.ScopeEverything}}

func newCredentials(tokens []Token) ([]credential, error) {
	list := make([]credential, 0, len(tokens))
	for _, t := range tokens {
		if t.Name == "" || len(t.Secret) < conf.MinTokenBytes {
			return nil, fmt.Errorf("%w: token %q needs a name and a secret of at least %d bytes", ErrConfig, t.Name, conf.MinTokenBytes)
		}
		cred := credential{Token: t, digest: sha256.Sum256(t.Secret)}
		cred.Secret = nil
		list = append(list, cred)
	}
	return list, nil
}

// findCredential returns the credential of a secret. It compares digests of equal
// length with every token, so that its run time reveals nothing about the secrets.
func findCredential(list []credential, secret string) (cred credential, ok bool) {
	digest := sha256.Sum256([]byte(secret))
	match := -1
	for i := range list {
		match = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(digest[:], list[i].digest[:]), i, match)
	}
	if match < 0 {
		return credential{}, false
	}
	return list[match], true
}

// bearerSecret returns the secret of an Authorization header.
func bearerSecret(header string) (string, bool) {
	scheme, secret, ok := strings.Cut(header, " ")
	return strings.TrimSpace(secret), ok && strings.EqualFold(scheme, "Bearer")
}

// denyReason returns why the credential does not allow a ticket, or "".
func (cred credential) denyReason(spec pollenlatch.Spec) string {
	switch cred.Scope {
	case conf.ScopeEverything:
		return ""
	case conf.ScopeTickets:
	default:
		return fmt.Sprintf("token %q may only read", cred.Name)
	}
	if len(spec.Callers)+len(spec.Voters) > 0 {
		return fmt.Sprintf("token %q may not change callers or voters", cred.Name)
	}
	names := slices.Clone(spec.Remove)
	for _, s := range spec.Services {
		names = append(names, s.Name)
	}
	for _, name := range names {
		if !slices.Contains(cred.Services, name) {
			return fmt.Sprintf("token %q may not change service %q", cred.Name, name)
		}
	}
	return ""
}
