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
	"net/url"
	"strconv"
	"strings"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/objecthttp"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/tlsconf"
)

// Settings configure the client.
type Settings struct {
	URL     string        `help:"Base URL of the platform's object API." default:"http://127.0.0.1:7900"`
	Timeout time.Duration `help:"Longest wait for one call, a watch's own wait excluded." default:"2s" min:"10ms" max:"1m"`

	TLS tlsconf.Settings `embed:"" prefix:"tls-"`
}

// maxListBytes bounds the answer to a list or a watch.
const maxListBytes = 64 * object.MaxSizeBytes

const peer errs.Peer = "store"

// Client calls the object API. It implements object.Store.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

const (
	stepTLS   errs.Step = "read TLS files"
	schemeTLS string    = "https://"
)

// New returns a client. It fails when the TLS files can't be used, or are set for
// a URL without TLS.
func New(s Settings) (*Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if s.TLS.Enabled() {
		if !strings.HasPrefix(s.URL, schemeTLS) {
			return nil, errs.New(stepTLS, peer, "TLS files are set, but the URL does not begin with "+schemeTLS)
		}
		identity, err := tlsconf.NewSource(s.TLS)
		if err != nil {
			return nil, errs.Wrap(err, stepTLS, peer)
		}
		transport.DialTLSContext = identity.Dial((&net.Dialer{}).DialContext)
	}
	return &Client{base: s.URL, timeout: s.Timeout, http: &http.Client{Transport: transport}}, nil
}

// call is one HTTP call to the store.
type call struct {
	step    errs.Step
	method  string
	path    string
	query   url.Values
	body    []byte
	ifMatch string // version, "*" for a create, empty for reads
	limit   int64
	extra   time.Duration // waited beyond the timeout
}

// reply is the answer to a call.
type reply struct {
	version object.Version
	body    []byte
}

func objectPath(kind object.Kind, name object.Name) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(string(name))
}

// Get implements object.Reader.
func (c *Client) Get(ctx context.Context, kind object.Kind, name object.Name) (object.Object, error) {
	r, err := c.do(ctx, call{step: "get object", method: http.MethodGet, path: objectPath(kind, name), limit: object.MaxSizeBytes})
	if err != nil {
		return object.Object{}, err
	}
	return object.Object{Kind: kind, Name: name, Version: r.version, Data: r.body}, nil
}

// List implements object.Reader.
func (c *Client) List(ctx context.Context, kind object.Kind, prefix string) ([]object.Object, error) {
	query := url.Values{objecthttp.PrefixParam: {prefix}}
	found, err := c.objects(ctx, call{step: "list objects", path: "/v1/objects/" + url.PathEscape(string(kind)), query: query})
	if err != nil {
		return nil, err
	}
	var list []object.Object
	for _, o := range found.Objects {
		list = append(list, object.Object{Kind: kind, Name: o.Name, Version: o.Version, Data: o.Data})
	}
	return list, nil
}

// Watch implements object.Watcher.
func (c *Client) Watch(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	query := url.Values{
		objecthttp.AfterParam:      {objecthttp.FormatVersion(after)},
		objecthttp.WaitMillisParam: {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	found, err := c.objects(ctx, call{
		step: "watch objects", path: "/v1/watch/" + url.PathEscape(string(kind)), query: query, extra: wait,
	})
	if err != nil {
		return nil, after, err
	}
	var events []object.Event
	for _, o := range found.Objects {
		changed := object.Object{Kind: kind, Name: o.Name, Version: o.Version, Data: o.Data}
		events = append(events, object.Event{Object: changed, Deleted: o.Deleted})
	}
	return events, found.Next, nil
}

// Instances implements object.Store.
func (c *Client) Instances(ctx context.Context) ([]object.Instance, error) {
	const step errs.Step = "list instances"
	r, err := c.do(ctx, call{step: step, method: http.MethodGet, path: objecthttp.InstancesPath, limit: maxListBytes})
	if err != nil {
		return nil, err
	}
	var list []object.Instance
	if err := json.Unmarshal(r.body, &list); err != nil {
		return nil, errs.Wrap(err, step, peer)
	}
	return list, nil
}

func (c *Client) objects(ctx context.Context, k call) (objecthttp.Objects, error) {
	k.method, k.limit = http.MethodGet, maxListBytes
	r, err := c.do(ctx, k)
	if err != nil {
		return objecthttp.Objects{}, err
	}
	var found objecthttp.Objects
	if err := json.Unmarshal(r.body, &found); err != nil {
		return objecthttp.Objects{}, errs.Wrap(err, k.step, peer)
	}
	return found, nil
}

// Create implements object.Writer.
func (c *Client) Create(ctx context.Context, kind object.Kind, name object.Name, data []byte) (object.Version, error) {
	r, err := c.do(ctx, call{step: "create object", method: http.MethodPut, path: objectPath(kind, name), body: data, ifMatch: "*"})
	return r.version, err
}

// Update implements object.Writer.
func (c *Client) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	r, err := c.do(ctx, call{
		step: "update object", method: http.MethodPut, path: objectPath(kind, name),
		body: data, ifMatch: objecthttp.FormatVersion(expected),
	})
	return r.version, err
}

// Delete implements object.Writer.
func (c *Client) Delete(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) error {
	_, err := c.do(ctx, call{
		step: "delete object", method: http.MethodDelete, path: objectPath(kind, name),
		ifMatch: objecthttp.FormatVersion(expected),
	})
	return err
}

// do performs one call and maps its outcome to the errors of package object.
func (c *Client) do(ctx context.Context, k call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.extra)
	defer cancel()
	request, err := c.request(ctx, k)
	if err != nil {
		return reply{}, errs.Wrap(err, k.step, peer)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, errs.Wrap(lostAnswer(k, err), k.step, peer)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(k, response.StatusCode); err != nil {
		return reply{}, errs.Wrap(err, k.step, peer)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, k.limit))
	if err != nil {
		return reply{}, errs.Wrap(lostAnswer(k, err), k.step, peer)
	}
	version, _ := objecthttp.ParseVersion(response.Header.Get(objecthttp.VersionHeader))
	return reply{version: version, body: body}, nil
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
	switch k.ifMatch {
	case "":
	case "*":
		request.Header.Set("If-None-Match", "*")
	default:
		request.Header.Set("If-Match", k.ifMatch)
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
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return object.ErrNotFound
	case http.StatusPreconditionFailed:
		return object.ErrConflict
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
