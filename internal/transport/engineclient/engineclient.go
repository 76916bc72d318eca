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
	// ErrClosed reports that the session's connection is gone. The session never dials again.
	ErrClosed = errors.New("connection to the engine is gone")
	// ErrRestarted reports that the engine has restarted since the order was planned.
	ErrRestarted = errors.New("engine has restarted")
)

// Session is one TCP connection to one boot of an engine.
type Session struct {
	upstream bundle.Upstream
	client   *http.Client
	scheme   string
	conn     net.Conn
	boot     string // of the last report
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
			return nil, ErrClosed
		}
		return conn, nil
	}
	session := &Session{upstream: upstream, scheme: "http", conn: conn}
	if identity != nil {
		session.scheme = "https"
	}
	session.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DialContext: dial, DialTLSContext: dial}}
	return session, nil
}

// connect opens the connection of a session.
func connect(ctx context.Context, address string, identity *tlsconf.Source) (net.Conn, error) {
	dial := (&net.Dialer{}).DialContext
	if identity == nil {
		return dial(ctx, "tcp", address)
	}
	return identity.Dial(dial)(ctx, "tcp", address)
}

// Close closes the connection.
func (s *Session) Close() { _ = s.conn.Close() }

// Report reads the engine's report.
func (s *Session) Report(ctx context.Context) (ledger.Report, error) {
	const step errs.Step = "read engine report"
	body, err := s.do(ctx, http.MethodGet, enginehttp.ResidencyPath, nil)
	if err != nil {
		return ledger.Report{}, errs.Wrap(err, step, errs.Peer(s.upstream.ID))
	}
	var report enginehttp.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return ledger.Report{}, errs.Wrap(err, step, errs.Peer(s.upstream.ID))
	}
	s.boot = report.Boot
	return FromWire(report), nil
}

// Send sends an order once.
func (s *Session) Send(ctx context.Context, o ledger.Order) error {
	const step errs.Step = "send order"
	if o.Boot != s.boot {
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
	_, err = s.do(ctx, http.MethodPost, path, body) // a refusal shows in the next report
	return errs.Wrap(err, step, errs.Peer(s.upstream.ID))
}

func (s *Session) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, s.scheme+"://"+s.upstream.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // the library must not send an order again by itself
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
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
