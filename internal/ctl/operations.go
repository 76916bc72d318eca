package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"savoryweir/internal/errs"
)

// Limits of the calls to operations ports.
const (
	operationsTimeout  = 5 * time.Second
	operationsParallel = 16
	maxStatusBytes     = 4 << 20
	maxTimelineBytes   = 64 << 20
)

// fetchAll gets the path from the operations ports of all processes, a few at a time.
// The results are in the order of the addresses.
func fetchAll[T any](env *Environment, addresses []string, path string, limit int64, decode func(io.Reader) (T, error)) []fetched[T] {
	results := make([]fetched[T], len(addresses))
	var group errgroup.Group
	group.SetLimit(operationsParallel)
	for i, address := range addresses {
		group.Go(func() error {
			value, err := fetchOne(env, address, path, limit, decode)
			results[i] = fetched[T]{address: address, value: value, err: err}
			return nil
		})
	}
	_ = group.Wait() // errors are kept with the results
	return results
}

// fetched is what one process answered.
type fetched[T any] struct {
	address string
	value   T
	err     error
}

func fetchOne[T any](env *Environment, address, path string, limit int64, decode func(io.Reader) (T, error)) (value T, err error) {
	const step errs.Step = "ask operations port"
	peer := errs.Peer(address)
	ctx, cancel := context.WithTimeout(env.Context, operationsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, env.scheme+address+path, nil)
	if err != nil {
		return value, errs.Wrap(err, step, peer)
	}
	response, err := env.HTTP.Do(request)
	if err != nil {
		return value, errs.Wrap(err, step, peer)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return value, errs.New(step, peer, fmt.Sprintf("%s answers %s", path, response.Status))
	}
	value, err = decode(io.LimitReader(response.Body, limit))
	return value, errs.Wrap(err, step, peer)
}
