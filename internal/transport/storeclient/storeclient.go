// Package storeclient implements the HTTP client of the platform's object API.
package storeclient

import (
	"bytes"
	"cmp"
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
	"savoryweir/internal/transport/checkedhttp"
	"savoryweir/internal/transport/keepalive"
	"savoryweir/internal/transport/tlsconf"
	"savoryweir/platform"
)

// Settings configures the client.
type Settings struct {
	URL     string        `help:"Base URL of the platform's object API." default:"http://127.0.0.1:7900"`
	Timeout time.Duration `help:"Time limit of one call. The wait of a watch is added to it." default:"2s" min:"10ms" max:"1m"`

	TLS tlsconf.Settings `embed:"" prefix:"tls-"`
}

// maxListResponseBytes bounds the response to a list or a watch.
const maxListResponseBytes = 64 * object.MaxSizeBytes

// maxObjectResponseBytes bounds the response with one object. It leaves room for the
// encoding of the object.
const maxObjectResponseBytes = 2 * object.MaxSizeBytes

const peer errs.Peer = "store"

// Client calls the object API. It implements object.Store.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	observe Observer
	// onUnreadable is called with the number of objects of a kind in a response that can't be decoded.
	onUnreadable func(kind object.Kind, count int)
	eras         *eraTracker
}

// Observer is called after each call to the store with its step, duration and error.
type Observer func(step errs.Step, took time.Duration, err error)

// Observe sets the observer. It must be called before the client is used.
func (c *Client) Observe(o Observer) { c.observe = o }

// OnUnreadable sets a function that is called with the number of objects of a kind in a response
// that can't be decoded; the response's other objects count. It must be called before the client is
// used.
func (c *Client) OnUnreadable(f func(kind object.Kind, count int)) { c.onUnreadable = f }

func (c *Client) reportUnreadable(kind object.Kind, count int) {
	if count > 0 && c.onUnreadable != nil {
		c.onUnreadable(kind, count)
	}
}

const (
	stepTLS   errs.Step = "read TLS files"
	schemeTLS string    = "https://"
)

// New returns a client. It returns an error if the TLS files can't be used, or if they
// are set although the URL is not an HTTPS URL.
func New(s Settings) (*Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	dial := keepalive.Dialer(s.Timeout).DialContext
	transport.DialContext = checkedhttp.WrapDial(dial)
	if s.TLS.Enabled() {
		if !strings.HasPrefix(s.URL, schemeTLS) {
			return nil, errs.New(stepTLS, peer, "TLS files are set, but the URL does not begin with "+schemeTLS)
		}
		identity, err := tlsconf.NewSource(s.TLS)
		if err != nil {
			return nil, errs.Wrap(err, stepTLS, peer)
		}
		transport.DialTLSContext = checkedhttp.WrapDial(identity.WrapDial(dial))
	}
	return &Client{base: s.URL, timeout: s.Timeout, http: &http.Client{Transport: checkedhttp.Transport{Base: transport}}, eras: newEraTracker(monotonicClock())}, nil
}

// operation describes one HTTP call to the store.
type operation struct {
	step             errs.Step
	method           string
	path             string
	query            url.Values
	body             []byte
	maxResponseBytes int64
	maxWait          time.Duration // longest time that a watch waits for a change

	isWatch bool // the store responds at a change, or without one after maxWait
}

// watchResponseGrace is how long the response to a watch may take after the watch's wait
// is over. If none arrived by then, the connection was lost without notice.
const watchResponseGrace = 300 * time.Millisecond

// Get implements object.Reader.
func (c *Client) Get(ctx context.Context, kind object.Kind, name object.Name) (object.Object, error) {
	const step errs.Step = "get object"
	got, err := c.do(ctx, operation{step: step, method: http.MethodGet, path: platform.ObjectPath(kind, name), maxResponseBytes: maxObjectResponseBytes})
	if err != nil {
		return object.Object{}, err
	}
	o, err := platform.DecodeObject(kind, got.era, got.body)
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

// ListAt returns all objects of a kind, together with the version after which a watch
// reports every later change.
func (c *Client) ListAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error) {
	return c.listAt(ctx, kind, false)
}

// ListStaleAt returns the objects of a kind as they were some seconds ago or later, together
// with the version of that moment. It is cheaper than ListAt.
func (c *Client) ListStaleAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error) {
	return c.listAt(ctx, kind, true)
}

func (c *Client) listAt(ctx context.Context, kind object.Kind, staleOK bool) ([]object.Object, object.Version, error) {
	const step errs.Step = "list objects"
	var all []object.Object
	var version object.Version
	for after := object.Name(""); ; {
		got, err := c.do(ctx, operation{
			step: step, method: http.MethodGet, path: platform.KindPath(kind), query: platform.ListQuery(after, staleOK), maxResponseBytes: maxListResponseBytes,
		})
		if err != nil {
			return nil, 0, err
		}
		page, err := platform.DecodePage(kind, got.era, got.body)
		if err != nil {
			return nil, 0, errs.Wrap(err, step, peer)
		}
		if version == 0 {
			version = page.Version
		}
		if page.Version.Era() != version.Era() {
			return nil, 0, errs.Wrap(errors.Join(object.ErrUnavailable, errEraChanged), step, peer)
		}
		all = append(all, page.Objects...)
		c.reportUnreadable(kind, page.Unreadable)
		last := after
		if n := len(page.Objects); n > 0 {
			last = page.Objects[n-1].Name
		}
		if !page.More || last <= after {
			return all, version, nil
		}
		after = last
	}
}

// Watch implements object.Watcher. If the store no longer has the history since the
// version, it returns all present objects instead, which leaves out deletions.
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

// WatchSince waits for changes after a version. It returns object.ErrHistoryGone if
// the store no longer has these changes. The store knows nothing of eras in a request: if
// the version returned is of a later era than after, the events may have gaps, and all
// objects must be listed again.
func (c *Client) WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	const step errs.Step = "watch objects"
	got, err := c.do(ctx, operation{
		step: step, method: http.MethodGet, path: platform.KindPath(kind), query: platform.WatchQuery(after, wait),
		maxResponseBytes: maxListResponseBytes, isWatch: true, maxWait: wait,
	})
	if err != nil {
		return nil, after, err
	}
	changes, err := platform.DecodeEvents(kind, got.era, got.body)
	if err != nil {
		return nil, after, errs.Wrap(err, step, peer)
	}
	c.reportUnreadable(kind, changes.Unreadable)
	return changes.Events, max(changes.Next, after), nil
}

// Instances implements object.Store.
func (c *Client) Instances(ctx context.Context) ([]object.Instance, error) {
	const step errs.Step = "list instances"
	entries, err := c.List(ctx, object.KindInstances, "")
	if err != nil {
		return nil, err
	}
	var list []object.Instance
	for _, o := range entries {
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
	return c.write(ctx, operation{step: "create object", method: http.MethodPost, path: platform.KindPath(kind)},
		object.Object{Kind: kind, Name: name, Data: data})
}

// Update implements object.Writer.
func (c *Client) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	return c.write(ctx, operation{step: "update object", method: http.MethodPut, path: platform.ObjectPath(kind, name)},
		object.Object{Kind: kind, Name: name, Version: expected, Data: data})
}

// Touch implements object.Writer. It writes the object's status, which raises the
// version without changing the data.
func (c *Client) Touch(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) (object.Version, error) {
	const step errs.Step = "touch object"
	body, err := platform.EncodeStatusUpdate(name, expected, uuid.NewString())
	if err != nil {
		return 0, errs.Wrap(err, step, peer)
	}
	return c.doWrite(ctx, kind, operation{step: step, method: http.MethodPut, path: platform.StatusPath(kind, name), body: body, maxResponseBytes: maxObjectResponseBytes})
}

// write performs a create or update of o.
func (c *Client) write(ctx context.Context, op operation, o object.Object) (object.Version, error) {
	if len(o.Data) > object.MaxSizeBytes {
		return 0, errs.Wrap(object.ErrTooLarge, op.step, peer)
	}
	body, err := platform.EncodeObject(o)
	if err != nil {
		return 0, errs.Wrap(err, op.step, peer)
	}
	op.body, op.maxResponseBytes = body, maxObjectResponseBytes
	return c.doWrite(ctx, o.Kind, op)
}

// doWrite performs a write and returns the version of the written object.
func (c *Client) doWrite(ctx context.Context, kind object.Kind, op operation) (object.Version, error) {
	got, err := c.do(ctx, op)
	if err != nil {
		return 0, err
	}
	stored, err := platform.DecodeObject(kind, got.era, got.body)
	if err != nil {
		return 0, errs.Wrap(errors.Join(object.ErrOutcomeUnknown, err), op.step, peer)
	}
	return stored.Version, nil
}

// Delete implements object.Writer.
func (c *Client) Delete(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) error {
	_, err := c.do(ctx, operation{
		step: "delete object", method: http.MethodDelete, path: platform.ObjectPath(kind, name),
		query: platform.DeleteQuery(expected), maxResponseBytes: maxObjectResponseBytes,
	})
	return err
}

// answer is a successful response of the store.
type answer struct {
	era  object.Era
	body []byte
}

// do performs one call within its time limit, reports it to the observer and maps a
// failure to the errors of package object.
func (c *Client) do(ctx context.Context, op operation) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+op.maxWait)
	defer cancel()
	started := time.Now()
	got, err := c.send(ctx, op)
	if c.observe != nil {
		c.observe(op.step, time.Since(started), err)
	}
	return got, errs.Wrap(err, op.step, peer)
}

// send performs one call and returns the successful response.
func (c *Client) send(ctx context.Context, op operation) (answer, error) {
	request, err := c.newRequest(ctx, op)
	if err != nil {
		return answer{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if op.isWatch && op.maxWait > 0 {
		responseTimer := time.AfterFunc(op.maxWait+watchResponseGrace, func() { cancel(object.ErrWatchUnanswered) })
		defer responseTimer.Stop()
		request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { responseTimer.Stop() }}))
	}
	response, err := c.http.Do(request)
	if err != nil && errors.Is(context.Cause(ctx), object.ErrWatchUnanswered) {
		return answer{}, errors.Join(object.ErrWatchUnanswered, err)
	}
	if err != nil {
		return answer{}, transportError(op, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, op.maxResponseBytes))
	statusErr := statusError(op, response.StatusCode)
	if errors.Is(statusErr, object.ErrUnavailable) || errors.Is(statusErr, object.ErrThrottled) {
		return answer{}, statusErr // the store did nothing, whatever its era
	}
	era, eraErr := c.responseEra(op, response.Header)
	if err := cmp.Or(eraErr, statusErr); err != nil {
		return answer{}, err
	}
	if err != nil {
		return answer{}, transportError(op, err)
	}
	return answer{era: era, body: body}, nil
}

// responseEra returns the era of a response and records it. It returns an error for a
// response of an earlier era than is known, because what that response says no longer
// holds.
func (c *Client) responseEra(op operation, h http.Header) (object.Era, error) {
	era, err := platform.DecodeStoreEra(h)
	if err == nil && !c.eras.observe(era, 0) {
		err = errOldEra
	}
	switch {
	case err == nil:
		return era, nil
	case op.isWrite():
		return 0, errors.Join(object.ErrOutcomeUnknown, err)
	default:
		return 0, errors.Join(object.ErrUnavailable, err)
	}
}

func (c *Client) newRequest(ctx context.Context, op operation) (*http.Request, error) {
	target := c.base + op.path
	if len(op.query) > 0 {
		target += "?" + op.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, op.method, target, bytes.NewReader(op.body))
	if err != nil {
		return nil, err
	}
	if op.isWrite() {
		request.GetBody = nil // keeps net/http from retrying a write
	}
	if len(op.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func (op operation) isWrite() bool { return op.method != http.MethodGet }

// transportError maps the error of a call without a complete response. It returns
// ErrOutcomeUnknown for a write that may have taken effect, otherwise ErrUnavailable.
func transportError(op operation, err error) error {
	var opError *net.OpError
	isDialError := errors.As(err, &opError) && opError.Op == "dial"
	if op.isWrite() && !isDialError {
		return errors.Join(object.ErrOutcomeUnknown, err)
	}
	return errors.Join(object.ErrUnavailable, err)
}

// statusError maps a response status to an error of package object, or nil for success.
func statusError(op operation, status int) error {
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
		if op.isWrite() {
			return object.ErrOutcomeUnknown
		}
		return object.ErrUnavailable
	}
}
