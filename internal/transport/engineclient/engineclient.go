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
	"savoryweir/internal/transport/checkedhttp"
	"savoryweir/internal/transport/tlsconf"
)

// maxReportBytes bounds the body of an engine's report.
const maxReportBytes = 1 << 20

var (
	// ErrConnectionLost reports that the session's connection is closed. A session never reconnects.
	ErrConnectionLost = errors.New("connection to the engine is closed")
	// ErrUnexpectedStatus reports a response whose status the request does not allow.
	ErrUnexpectedStatus = errors.New("unexpected status of the engine's response")
	// ErrTooLarge reports a response whose body exceeds the size limit.
	ErrTooLarge = errors.New("engine's response is too large")
	// ErrRestarted reports that the engine has restarted since the order was planned.
	ErrRestarted = errors.New("engine has restarted")
)

// Session is one TCP connection to one boot of an engine, which is the engine's run from one
// start to the next.
type Session struct {
	upstream   bundle.Upstream
	client     *http.Client
	scheme     string
	conn       net.Conn
	lastReport enginehttp.Report // the last report that was read completely
	etag       string            // entity tag of lastReport; empty if the engine sent no strong one
}

// Dial connects to an engine. The session never uses another connection: a restart of the
// engine breaks the connection, and with it every order that was sent on it. The identity
// is nil for plain TCP.
func Dial(ctx context.Context, upstream bundle.Upstream, identity *tlsconf.Source) (*Session, error) {
	conn, err := openConnection(ctx, upstream.Address, identity)
	if err != nil {
		return nil, errs.Wrap(err, "connect to engine", errs.Peer(upstream.ID))
	}
	var isDialed atomic.Bool
	dial := func(context.Context, string, string) (net.Conn, error) {
		if isDialed.Swap(true) {
			return nil, ErrConnectionLost
		}
		return checkedhttp.NewConn(conn), nil
	}
	session := &Session{upstream: upstream, scheme: "http", conn: conn}
	if identity != nil {
		session.scheme = "https"
	}
	session.client = &http.Client{Transport: checkedhttp.Transport{Base: &http.Transport{
		MaxConnsPerHost: 1, DialContext: dial, DialTLSContext: dial, DisableCompression: true,
	}}}
	return session, nil
}

// openConnection opens the connection of a session.
func openConnection(ctx context.Context, address string, identity *tlsconf.Source) (net.Conn, error) {
	dial := (&net.Dialer{}).DialContext
	if identity == nil {
		return dial(ctx, "tcp", address)
	}
	return identity.WrapDial(dial)(ctx, "tcp", address)
}

// Close closes the connection.
func (s *Session) Close() { _ = s.conn.Close() }

// Report reads the engine's report. The request is conditional on a change since the last
// report on this connection. The engine decides on "not modified" after it received the
// request, so the last report is then its current one. Engines without entity tags send
// each report in full.
func (s *Session) Report(ctx context.Context) (ledger.Report, error) {
	const step errs.Step = "read engine report"
	if err := s.updateReport(ctx); err != nil {
		return ledger.Report{}, errs.Wrap(err, step, errs.Peer(s.upstream.ID))
	}
	return FromWire(s.lastReport), nil
}

// updateReport fetches the report and stores it in lastReport if it has changed.
func (s *Session) updateReport(ctx context.Context) error {
	a, err := s.do(ctx, http.MethodGet, enginehttp.ResidencyPath, s.etag, nil)
	if err != nil {
		return err
	}
	switch {
	case a.status == http.StatusNotModified && s.etag != "" && a.etag == s.etag:
		return nil
	case a.status != http.StatusOK:
		s.etag = ""
		return ErrUnexpectedStatus
	}
	var report enginehttp.Report
	if err := json.Unmarshal(a.body, &report); err != nil {
		s.etag = ""
		return err
	}
	s.lastReport, s.etag = report, a.etag
	return nil
}

// Send sends an order at most once. It returns ErrRestarted if the order was planned for
// another boot. The engine's refusal of an order is not an error.
func (s *Session) Send(ctx context.Context, o ledger.Order) error {
	const step errs.Step = "send order"
	if o.Boot != s.lastReport.Boot {
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
	_, err = s.do(ctx, http.MethodPost, path, "", body) // the next report shows a refusal
	return errs.Wrap(err, step, errs.Peer(s.upstream.ID))
}

// engineResponse is an engine's response to one request.
type engineResponse struct {
	status int
	etag   string // strong entity tag; empty if there is none
	body   []byte
}

// do sends one request. A non-empty etag makes it conditional by the If-None-Match header.
func (s *Session) do(ctx context.Context, method, path, etag string, body []byte) (engineResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, s.scheme+"://"+s.upstream.Address+path, bytes.NewReader(body))
	if err != nil {
		return engineResponse{}, err
	}
	request.GetBody = nil // keeps net/http from retrying an order by itself
	request.Header.Set("User-Agent", "")
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return engineResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes+1))
	if err == nil && len(data) > maxReportBytes {
		err = ErrTooLarge
	}
	return engineResponse{status: response.StatusCode, etag: strongETag(response.Header.Get("ETag")), body: data}, err
}

// strongETag returns etag if it is a strong entity tag, which changes with every byte of the
// body, and "" otherwise. A weak tag may stay the same when an order is added to the list
// of handled orders.
func strongETag(etag string) string {
	if len(etag) > 2 && etag[0] == '"' && etag[len(etag)-1] == '"' {
		return etag
	}
	return ""
}

// ToWire returns the wire form of an order.
func ToWire(o ledger.Order) enginehttp.Order {
	return enginehttp.Order{
		ID: o.ID(), Fence: uint64(o.Fence), MemoryMiB: int64(o.Memory),
		Slot: enginehttp.Slot{Model: string(o.Slot.Model), Version: o.Slot.Version, Adapter: string(o.Slot.Adapter)},
	}
}

// FromWire returns the report that a wire report describes.
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
