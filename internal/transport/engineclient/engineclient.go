// Package engineclient sends orders to model engines and reads their reports over HTTP.
package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/enginehttp"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/transport/tlsconf"
)

// maxReportBytes bounds an engine's report.
const maxReportBytes = 1 << 20

var (
	// ErrConnectionLost reports that the session's connection is gone. The session never dials again.
	ErrConnectionLost = errors.New("connection to the engine is gone")
	// ErrUnexpectedStatus reports an answer with a status that the request does not allow for.
	ErrUnexpectedStatus = errors.New("unexpected status of the engine's answer")
	// ErrRestarted reports that the engine has restarted since the order was planned.
	ErrRestarted = errors.New("engine has restarted")
)

// Session is one TCP connection to one boot of an engine.
type Session struct {
	upstream bundle.Upstream
	client   *http.Client
	scheme   string
	conn     net.Conn
	last     enginehttp.Report // the last report that was read whole
	tag      string            // its entity tag, empty if the engine gave no strong one
}

// Dial connects to an engine. The connection is the only one that the session ever uses:
// when the engine restarts it breaks, and with it every order that was sent on it.
// Identity is nil for plain TCP.
func Dial(ctx context.Context, upstream bundle.Upstream, identity *tlsconf.Source) (*Session, error) {
	conn, err := connect(ctx, upstream.Address, identity)
	if err != nil {
		return nil, errs.Wrap(err, "connect to engine", errs.Peer(upstream.ID))
	}
	var used atomic.Bool
	dial := func(context.Context, string, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, ErrConnectionLost
		}
		return conn, nil
	}
	session := &Session{upstream: upstream, scheme: "http", conn: conn}
	if identity != nil {
		session.scheme = "https"
	}
	session.client = &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1, DialContext: dial, DialTLSContext: dial, DisableCompression: true,
	}}
	return session, nil
}

// connect opens the connection of a session.
func connect(ctx context.Context, address string, identity *tlsconf.Source) (net.Conn, error) {
	dial := (&net.Dialer{}).DialContext
	if identity == nil {
		return dial(ctx, "tcp", address)
	}
	return identity.WrapDial(dial)(ctx, "tcp", address)
}

// Close closes the connection.
func (s *Session) Close() { _ = s.conn.Close() }

// Report reads the engine's report. It asks on the condition that the report has
// changed since the last one on this connection: an engine that answers "not
// modified" says so after it was asked, so that the last report is its present one.
// Engines without entity tags send each report whole.
func (s *Session) Report(ctx context.Context) (ledger.Report, error) {
	const step errs.Step = "read engine report"
	if err := s.refresh(ctx); err != nil {
		return ledger.Report{}, errs.Wrap(err, step, errs.Peer(s.upstream.ID))
	}
	return FromWire(s.last), nil
}

// refresh brings the last report up to date.
func (s *Session) refresh(ctx context.Context) error {
	a, err := s.do(ctx, http.MethodGet, enginehttp.ResidencyPath, s.tag, nil)
	if err != nil {
		return err
	}
	switch {
	case a.status == http.StatusNotModified && s.tag != "" && a.tag == s.tag:
		return nil
	case a.status != http.StatusOK:
		s.tag = ""
		return ErrUnexpectedStatus
	}
	var report enginehttp.Report
	if err := json.Unmarshal(a.body, &report); err != nil {
		s.tag = ""
		return err
	}
	s.last, s.tag = report, a.tag
	return nil
}

// Send sends an order once.
func (s *Session) Send(ctx context.Context, o ledger.Order) error {
	const step errs.Step = "send order"
	if o.Boot != s.last.Boot {
		return errs.Wrap(ErrRestarted, step, errs.Peer(s.upstream.ID))
	}
	body, err := json.Marshal(ToWire(o))
	if err != nil {
		return errs.Wrap(err, step, errs.Self)
	}
	path := enginehttp.LoadPath
	if o.Action == ledger.Unload {
		path = enginehttp.UnloadPath
	}
	_, err = s.do(ctx, http.MethodPost, path, "", body) // a refusal shows in the next report
	return errs.Wrap(err, step, errs.Peer(s.upstream.ID))
}

// answer is what an engine answered.
type answer struct {
	status int
	tag    string // strong entity tag, empty if there is none
	body   []byte
}

// do sends one request. A tag makes it conditional.
func (s *Session) do(ctx context.Context, method, path, tag string, body []byte) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, s.scheme+"://"+s.upstream.Address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.GetBody = nil // the library must not send an order again by itself
	request.Header.Set("User-Agent", "")
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	return answer{status: response.StatusCode, tag: strongTag(response.Header.Get("ETag")), body: data}, err
}

// strongTag returns an entity tag that stands for one body byte by byte, or nothing. A weak
// tag may stay the same while an order is noted as handled.
func strongTag(tag string) string {
	if len(tag) > 2 && tag[0] == '"' && tag[len(tag)-1] == '"' {
		return tag
	}
	return ""
}

// ToWire returns the order as it is sent.
func ToWire(o ledger.Order) enginehttp.Order {
	return enginehttp.Order{
		ID: o.ID(), Fence: uint64(o.Fence), MemoryMiB: int64(o.Memory),
		Slot: enginehttp.Slot{Model: string(o.Slot.Model), Version: o.Slot.Version, Adapter: string(o.Slot.Adapter)},
	}
}

// FromWire returns the report that was received.
func FromWire(r enginehttp.Report) ledger.Report {
	report := ledger.Report{Boot: r.Boot, Sequence: r.Sequence, Fence: ledger.Fence(r.Fence), Handled: r.Handled}
	for _, i := range r.Residents {
		report.Residents = append(report.Residents, ledger.Resident{
			Slot: ledger.Slot{
				Model: bundle.ModelID(i.Slot.Model), Version: i.Slot.Version, Adapter: bundle.AdapterID(i.Slot.Adapter),
			},
			Memory: bundle.MiB(i.MemoryMiB),
			Ready:  i.State == enginehttp.StateReady,
		})
	}
	return report
}
