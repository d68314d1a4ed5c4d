package quarantine

import (
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Trait is what requests that crash replicas may have in common: a part of their prompts, or that they are repeats of
// one request. One of Part and Request is set.
type Trait struct {
	// Service is the service of a part. Requests of all workspaces state the same ID for the same content. A request is
	// the same at all services.
	Service catalog.ServiceID
	Part    entity.PromptPartID
	Request entity.RequestDigest
}

// IsRequest reports whether the trait is that of the repeats of one request.
func (x Trait) IsRequest() bool { return x.Request != "" }

// Traits are the traits of one request.
type Traits struct {
	Service catalog.ServiceID
	// Parts are the shared parts of the prompt.
	Parts  []entity.PromptPartID
	Digest entity.RequestDigest
}

// ofParts returns the traits of the parts.
func (x Traits) ofParts() []Trait {
	out := make([]Trait, 0, len(x.Parts))
	for _, id := range x.Parts {
		out = append(out, Trait{Service: x.Service, Part: id})
	}
	return out
}

// ofRequest returns the trait of the request itself, if its digest is known.
func (x Traits) ofRequest() []Trait {
	if x.Digest == "" {
		return nil
	}
	return []Trait{{Request: x.Digest}}
}

func (x Traits) all() []Trait { return slices.Concat(x.ofParts(), x.ofRequest()) }

// AnyIn reports whether one of the traits is in a set.
func (x Traits) AnyIn(set map[Trait]struct{}) bool {
	if _, ok := set[Trait{Request: x.Digest}]; ok {
		return true
	}
	for _, id := range x.Parts {
		if _, ok := set[Trait{Service: x.Service, Part: id}]; ok {
			return true
		}
	}
	return false
}
