package server

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// index maps names to the objects of one bundle.
type index struct {
	bundle   *bundler.Bundle
	accounts map[string]*bundler.Account // by the SHA-256 digest of a bearer key, in hexadecimal
	models   map[identifier.Service]*bundler.Model
	services map[identifier.Service]*bundler.Service

	longestDeadline time.Duration // of the models; by then a body must have arrived, which names the model
}

// currentIndex returns the index of the bundle in force, or nil if there is none.
func (s *Server) currentIndex() *index {
	b := s.cfg.Bundle()
	if b == nil {
		return nil
	}
	if x := s.index.Load(); x != nil && x.bundle == b {
		return x
	}
	x := newIndex(b)
	s.index.Store(x)
	return x
}

func newIndex(b *bundler.Bundle) *index {
	x := &index{
		bundle:   b,
		accounts: map[string]*bundler.Account{},
		models:   map[identifier.Service]*bundler.Model{},
		services: map[identifier.Service]*bundler.Service{},
	}
	for i := range b.Accounts {
		for _, digest := range b.Accounts[i].KeyDigests {
			x.accounts[digest] = &b.Accounts[i]
		}
	}
	for i := range b.Models {
		x.models[b.Models[i].Name] = &b.Models[i]
		x.longestDeadline = max(x.longestDeadline, cmp.Or(b.Models[i].Deadline.Std(), defaultDeadline))
	}
	for i := range b.Services {
		x.services[b.Services[i].Name] = &b.Services[i]
	}
	return x
}

// account returns the client account of a bearer key, or nil if there is none. Keys are
// compared by their digests, because the bundle contains only the digests.
func (x *index) account(key string) *bundler.Account {
	sum := sha256.Sum256([]byte(key))
	return x.accounts[hex.EncodeToString(sum[:])]
}
