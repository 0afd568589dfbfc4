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

// Token gives the holder of a secret a scope.
type Token struct {
	Name     string // recorded as the sender of tickets
	Secret   []byte
	Scope    conf.Scope
	Services []string // for conf.Tickets: what its tickets may name
}

// grant is a token as the server keeps it.
type grant struct {
	Token
	sum [sha256.Size]byte
}

// open is the grant of everyone when there are no tokens.
var open = grant{Token: Token{Name: "operator", Scope: conf.Everything}}

func grants(tokens []Token) ([]grant, error) {
	list := make([]grant, 0, len(tokens))
	for _, t := range tokens {
		if t.Name == "" || len(t.Secret) < conf.MinToken {
			return nil, fmt.Errorf("%w: token %q needs a name and a secret of at least %d bytes", ErrConfig, t.Name, conf.MinToken)
		}
		g := grant{Token: t, sum: sha256.Sum256(t.Secret)}
		g.Secret = nil
		list = append(list, g)
	}
	return list, nil
}

// find returns the grant of a secret. It compares digests of equal length with
// every token, so that its time tells nothing of the secrets.
func find(list []grant, secret string) (g grant, ok bool) {
	sum := sha256.Sum256([]byte(secret))
	at := -1
	for i := range list {
		at = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(sum[:], list[i].sum[:]), i, at)
	}
	if at < 0 {
		return grant{}, false
	}
	return list[at], true
}

// bearer returns the secret of an Authorization header.
func bearer(header string) (string, bool) {
	scheme, secret, ok := strings.Cut(header, " ")
	return strings.TrimSpace(secret), ok && strings.EqualFold(scheme, "Bearer")
}

// refuses returns why the grant does not allow a ticket, or "".
func (g grant) refuses(spec pollenlatch.Spec) string {
	switch g.Scope {
	case conf.Everything:
		return ""
	case conf.Tickets:
	default:
		return fmt.Sprintf("token %q may only read", g.Name)
	}
	if len(spec.Callers)+len(spec.Voters) > 0 {
		return fmt.Sprintf("token %q may not change callers or voters", g.Name)
	}
	names := slices.Clone(spec.Remove)
	for _, s := range spec.Services {
		names = append(names, s.Name)
	}
	for _, name := range names {
		if !slices.Contains(g.Services, name) {
			return fmt.Sprintf("token %q may not change service %q", g.Name, name)
		}
	}
	return ""
}
