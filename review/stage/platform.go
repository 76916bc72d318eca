package main

import (
	"context"
	"errors"
	"net/http/httptest"
	"time"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/standin/operator"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// store is the platform's store with the operator who writes to it.
type store struct {
	*objectapi.Memory
	server  *httptest.Server
	version int
}

func startStore() *store {
	m := objectapi.New(time.Now, objectapi.Limits{})
	return &store{Memory: m, server: httptest.NewServer(objectapi.Handler(m))}
}

func (s *store) address() string { return s.server.Listener.Addr().String() }

// configure writes the next version of the configuration and returns when that was acknowledged.
func (s *store) configure(d operator.Document) (time.Time, error) {
	s.version += 3
	d.Version, d.IdleTimeout = s.version, 10*time.Second
	data, err := d.Encode()
	if err != nil {
		return time.Time{}, err
	}
	ctx := context.Background()
	old, err := s.Get(ctx, platform.KindConfig, platform.NameConfig)
	if errors.Is(err, object.ErrNotFound) {
		_, err = s.Create(ctx, platform.KindConfig, platform.NameConfig, data)
	} else if err == nil {
		_, err = s.Update(ctx, platform.KindConfig, old.Name, data, old.Version)
	}
	return time.Now(), err
}
