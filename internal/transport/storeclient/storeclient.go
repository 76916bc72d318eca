// Package storeclient is the HTTP client of the platform's object API.
package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"savoryweir/internal/errs"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/keepalive"
	"savoryweir/internal/transport/tlsconf"
	"savoryweir/platform"
)

// Settings configure the client.
type Settings struct {
	URL     string        `help:"Base URL of the platform's object API." default:"http://127.0.0.1:7900"`
	Timeout time.Duration `help:"Longest wait for one call, a watch's own wait excluded." default:"2s" min:"10ms" max:"1m"`

	TLS tlsconf.Settings `embed:"" prefix:"tls-"`
}

// maxListBytes bounds the answer to a list or a watch.
const maxListBytes = 64 * object.MaxSizeBytes

// maxObjectBytes bounds the answer that holds one object, with its wrapping.
const maxObjectBytes = 2 * object.MaxSizeBytes

const peer errs.Peer = "store"

// Client calls the object API. It implements object.Store.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	observe Observer
}

// Observer is told of each call with its outcome.
type Observer func(step errs.Step, took time.Duration, err error)

// Observe sets the observer. It must be called before the first call.
func (c *Client) Observe(o Observer) { c.observe = o }

const (
	stepTLS   errs.Step = "read TLS files"
	schemeTLS string    = "https://"
)

// New returns a client. It fails when the TLS files can't be used, or are set for
// a URL without TLS.
func New(s Settings) (*Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = keepalive.Dialer(s.Timeout).DialContext
	if s.TLS.Enabled() {
		if !strings.HasPrefix(s.URL, schemeTLS) {
			return nil, errs.New(stepTLS, peer, "TLS files are set, but the URL does not begin with "+schemeTLS)
		}
		identity, err := tlsconf.NewSource(s.TLS)
		if err != nil {
			return nil, errs.Wrap(err, stepTLS, peer)
		}
		transport.DialTLSContext = identity.WrapDial(keepalive.Dialer(s.Timeout).DialContext)
	}
	return &Client{base: s.URL, timeout: s.Timeout, http: &http.Client{Transport: transport}}, nil
}

// call is one HTTP call to the store.
type call struct {
	step   errs.Step
	method string
	path   string
	query  url.Values
	body   []byte
	limit  int64
	extra  time.Duration // longest wait of a watch

	watches bool // waits for a change; its answer comes at the latest after extra
}

// watchSlack is how long the answer to a watch may take after its wait is over. A
// watch without an answer by then has been cut off without a sign.
const watchSlack = 300 * time.Millisecond

// Get implements object.Reader.
func (c *Client) Get(ctx context.Context, kind object.Kind, name object.Name) (object.Object, error) {
	const step errs.Step = "get object"
	body, err := c.do(ctx, call{step: step, method: http.MethodGet, path: platform.ObjectPath(kind, name), limit: maxObjectBytes})
	if err != nil {
		return object.Object{}, err
	}
	o, err := platform.DecodeObject(kind, body)
	return o, errs.Wrap(err, step, peer)
}

// List implements object.Reader.
func (c *Client) List(ctx context.Context, kind object.Kind, prefix string) ([]object.Object, error) {
	all, _, err := c.ListAt(ctx, kind)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(all, func(o object.Object) bool { return !strings.HasPrefix(string(o.Name), prefix) }), nil
}

// ListAt returns all objects of a kind, with the version from which a watch sees
// every later change.
func (c *Client) ListAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error) {
	const step errs.Step = "list objects"
	var all []object.Object
	var first object.Version
	for after := object.Name(""); ; {
		body, err := c.do(ctx, call{
			step: step, method: http.MethodGet, path: platform.KindPath(kind), query: platform.ListQuery(after), limit: maxListBytes,
		})
		if err != nil {
			return nil, 0, err
		}
		page, err := platform.DecodePage(kind, body)
		if err != nil {
			return nil, 0, errs.Wrap(err, step, peer)
		}
		if first == 0 {
			first = page.Revision
		}
		all = append(all, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			return all, first, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

// Watch implements object.Watcher. Where the store has dropped the history after
// the version, all present objects come back instead, without deletions.
func (c *Client) Watch(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	events, next, err := c.WatchSince(ctx, kind, after, wait)
	if !errors.Is(err, object.ErrHistoryGone) {
		return events, next, err
	}
	present, next, err := c.ListAt(ctx, kind)
	if err != nil {
		return nil, after, err
	}
	for _, o := range present {
		events = append(events, object.Event{Object: o})
	}
	return events, next, nil
}

// WatchSince waits for changes after a version. It returns object.ErrHistoryGone
// where the store no longer has them.
func (c *Client) WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	const step errs.Step = "watch objects"
	body, err := c.do(ctx, call{
		step: step, method: http.MethodGet, path: platform.KindPath(kind), query: platform.WatchQuery(after, wait),
		limit: maxListBytes, watches: true, extra: wait,
	})
	if err != nil {
		return nil, after, err
	}
	events, next, err := platform.DecodeEvents(kind, body)
	if err != nil {
		return nil, after, errs.Wrap(err, step, peer)
	}
	return events, max(next, after), nil
}

// Instances implements object.Store.
func (c *Client) Instances(ctx context.Context) ([]object.Instance, error) {
	const step errs.Step = "list instances"
	found, err := c.List(ctx, object.KindInstances, "")
	if err != nil {
		return nil, err
	}
	var list []object.Instance
	for _, o := range found {
		var instance object.Instance
		if err := json.Unmarshal(o.Data, &instance); err != nil {
			return nil, errs.Wrap(err, step, peer)
		}
		list = append(list, instance)
	}
	return list, nil
}

// Create implements object.Writer.
func (c *Client) Create(ctx context.Context, kind object.Kind, name object.Name, data []byte) (object.Version, error) {
	return c.write(ctx, call{step: "create object", method: http.MethodPost, path: platform.KindPath(kind)},
		object.Object{Kind: kind, Name: name, Data: data})
}

// Update implements object.Writer.
func (c *Client) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	return c.write(ctx, call{step: "update object", method: http.MethodPut, path: platform.ObjectPath(kind, name)},
		object.Object{Kind: kind, Name: name, Version: expected, Data: data})
}

// Touch implements object.Writer. It changes the object's status.
func (c *Client) Touch(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) (object.Version, error) {
	const step errs.Step = "touch object"
	body, err := platform.EncodeStatusUpdate(name, expected, uuid.NewString())
	if err != nil {
		return 0, errs.Wrap(err, step, peer)
	}
	return c.written(ctx, kind, call{step: step, method: http.MethodPut, path: platform.StatusPath(kind, name), body: body, limit: maxObjectBytes})
}

func (c *Client) write(ctx context.Context, k call, o object.Object) (object.Version, error) {
	if len(o.Data) > object.MaxSizeBytes {
		return 0, errs.Wrap(object.ErrTooLarge, k.step, peer)
	}
	body, err := platform.EncodeObject(o)
	if err != nil {
		return 0, errs.Wrap(err, k.step, peer)
	}
	k.body, k.limit = body, maxObjectBytes
	return c.written(ctx, o.Kind, k)
}

// written performs a write and returns the version that it made.
func (c *Client) written(ctx context.Context, kind object.Kind, k call) (object.Version, error) {
	answer, err := c.do(ctx, k)
	if err != nil {
		return 0, err
	}
	written, err := platform.DecodeObject(kind, answer)
	if err != nil {
		return 0, errs.Wrap(errors.Join(object.ErrOutcomeUnknown, err), k.step, peer)
	}
	return written.Version, nil
}

// Delete implements object.Writer.
func (c *Client) Delete(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) error {
	_, err := c.do(ctx, call{
		step: "delete object", method: http.MethodDelete, path: platform.ObjectPath(kind, name),
		query: platform.DeleteQuery(expected), limit: maxObjectBytes,
	})
	return err
}

// do performs one call and maps its outcome to the errors of package object.
func (c *Client) do(ctx context.Context, k call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.extra)
	defer cancel()
	started := time.Now()
	body, err := c.send(ctx, k)
	if c.observe != nil {
		c.observe(k.step, time.Since(started), err)
	}
	return body, errs.Wrap(err, k.step, peer)
}

func (c *Client) send(ctx context.Context, k call) ([]byte, error) {
	request, err := c.request(ctx, k)
	if err != nil {
		return nil, err
	}
	ctx, silent := context.WithCancelCause(ctx)
	defer silent(nil)
	if k.watches && k.extra > 0 {
		head := time.AfterFunc(k.extra+watchSlack, func() { silent(object.ErrWatchUnanswered) })
		defer head.Stop()
		request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { head.Stop() }}))
	}
	response, err := c.http.Do(request)
	if err != nil && errors.Is(context.Cause(ctx), object.ErrWatchUnanswered) {
		return nil, errors.Join(object.ErrWatchUnanswered, err)
	}
	if err != nil {
		return nil, lostAnswer(k, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, k.limit))
	if err := statusError(k, response.StatusCode); err != nil {
		return nil, err
	}
	if err != nil {
		return nil, lostAnswer(k, err)
	}
	return body, nil
}

func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	target := c.base + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	if k.isWrite() {
		request.GetBody = nil // the library must not send a write again by itself
	}
	if len(k.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func (k call) isWrite() bool { return k.method != http.MethodGet }

// lostAnswer tells a write that may have taken effect from a call that did not.
func lostAnswer(k call, err error) error {
	var dial *net.OpError
	notSent := errors.As(err, &dial) && dial.Op == "dial"
	if k.isWrite() && !notSent {
		return errors.Join(object.ErrOutcomeUnknown, err)
	}
	return errors.Join(object.ErrUnavailable, err)
}

func statusError(k call, status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return object.ErrNotFound
	case http.StatusConflict:
		return object.ErrConflict
	case http.StatusGone:
		return object.ErrHistoryGone
	case http.StatusTooManyRequests:
		return object.ErrThrottled
	case http.StatusServiceUnavailable:
		return object.ErrUnavailable
	case http.StatusRequestEntityTooLarge:
		return object.ErrTooLarge
	default:
		if k.isWrite() {
			return object.ErrOutcomeUnknown
		}
		return object.ErrUnavailable
	}
}
