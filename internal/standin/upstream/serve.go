package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/pause"
)

// PoisonPath is a part of the path of requests that crash whatever runs them.
const PoisonPath = "/poison"

// handler serves one incarnation.
func (u *Upstream) handler(id, version string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", u.report)
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) { u.order(w, r, id) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { u.serve(w, r, id, version) })
	return mux
}

// Fingerprint names method, path and body of a request.
func Fingerprint(method, path string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method + "\x00" + path + "\x00")
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// Answer is the body with which a plain request is answered.
func Answer(request, fingerprint string) string { return request + " ran as " + fingerprint + "\n" }

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request, id, version string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection is gone
	}
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	w.Header().Set("Instance-Id", id)
	if u.isDraining() {
		w.Header().Set("Server-Leaving", "1")
	}
	limit, endures := u.namedLimits()
	if endures > 0 {
		w.Header().Set("Server-Brittle", strconv.Itoa(endures))
	}
	u.journal.Arrived(request, id, limit)
	if limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if refused := u.admit(w, r, id); refused {
		return
	}
	defer u.leave()
	run := Run{
		Request: request, Upstream: id, Version: version, Service: u.config.Service,
		Fingerprint: Fingerprint(r.Method, r.URL.Path, body), Began: time.Now(),
	}
	u.journal.Ran(run)
	defer u.journal.Stopped(run)
	if strings.Contains(r.URL.Path, PoisonPath) {
		if u.Crash() {
			go u.restart(crashedFor)
		}
		panic(http.ErrAbortHandler)
	}
	fails, loses := u.fate()
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r))
	defer cancel()
	w.Header().Set("Response-Seal", seal(request))
	if u.isNextMalformed() {
		u.answerMalformed(w, run, cancel)
		return
	}
	if u.drawUnframed() {
		answer, err := hijack(w, cancel)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer answer.end()
		w = answer
	}
	if u.config.Places > 0 {
		u.stream(ctx, w, r, run, loses)
		return
	}
	if !pause.For(ctx, u.config.Work) || loses {
		if answer, ok := w.(*unframed); ok {
			answer.reset(Answer(request, run.Fingerprint))
		}
		panic(http.ErrAbortHandler)
	}
	if fails {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, Answer(request, run.Fingerprint))
}

// admit refuses what the upstream does not run. It reports whether it has answered.
func (u *Upstream) admit(w http.ResponseWriter, r *http.Request, id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	switch {
	case r.Header.Get("Expect-Instance") != id || model != "" && !u.holds(model, adapter):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.Header.Get("Request-Id") == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case u.running >= u.room():
		u.recordRejected(r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		u.running++
		return false
	}
	return true
}

func (u *Upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

func (u *Upstream) namedLimits() (perSecond float64, endures int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit, u.brittle.endures
}

// room returns how many requests run at a time. The caller holds u.mu.
func (u *Upstream) room() int {
	if u.brittle.slots > 0 {
		return u.brittle.slots
	}
	return u.config.Slots
}

// recordRejected records a rejection for want of room. If a brittle upstream has to reject more than it
// endures, it crashes. The caller holds u.mu.
func (u *Upstream) recordRejected(request string) {
	if u.brittle.slots == 0 {
		return
	}
	now := time.Now()
	u.rejected = append(u.rejected, rejection{request, now})
	u.rejected = slices.DeleteFunc(u.rejected, func(r rejection) bool { return now.Sub(r.at) > time.Second })
	if len(u.rejected) <= u.brittle.endures {
		return
	}
	var requests []string
	for _, r := range u.rejected {
		requests = append(requests, r.request)
	}
	u.rejected = nil
	go func(id string) {
		if u.crash(func() { u.journal.Fell(id, requests) }) {
			u.restart(u.config.RestartTime)
		}
	}(u.id)
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running = max(u.running-1, 0)
}

func (u *Upstream) fate() (fails, loses bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64() < u.faults.FailShare, u.random.Float64() < u.faults.LoseShare
}

func (u *Upstream) drawUnframed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.framing.Float64() < u.config.UnframedShare
}

// restart starts a crashed upstream again after a time.
func (u *Upstream) restart(after time.Duration) {
	u.Lapse()
	time.Sleep(after)
	_ = u.Start() // the port is chosen anew; without one the upstream stays away
}

const crashedFor = 500 * time.Millisecond

// Event is one event of a stream.
func Event(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, request, number)
}

// stream answers by as many events as the request has output tokens. One that loses its
// answer, or has no frames and ends early, breaks off within an event.
func (u *Upstream) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, run Run, loses bool) {
	_, most, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	last, err := strconv.Atoi(most)
	if err != nil {
		last = 1
	}
	next := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = after + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	crashes := u.config.CrashingPart != "" && slices.Contains(sharedParts(r.Header), u.config.CrashingPart)
	control := http.NewResponseController(w)
	for ; next <= last; next++ {
		event := Event(run.Request, next)
		worked := pause.For(ctx, u.config.Work)
		if _, isUnframed := w.(*unframed); !worked && !isUnframed {
			panic(http.ErrAbortHandler)
		}
		if crashes && worked {
			u.crashBy(w, run, event)
		}
		if !worked || loses && next >= last/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		u.journal.Wrote(run, next)
		_, _ = io.WriteString(w, event)
		_ = control.Flush() // a caller that is gone ends the context
	}
}

// crashBy crashes the upstream as it begins to write an answer: after the head, or in the
// middle of the event. All other answers of the upstream end too.
func (u *Upstream) crashBy(w http.ResponseWriter, run Run, event string) {
	w.WriteHeader(http.StatusOK)
	if _, isUnframed := w.(*unframed); isUnframed || u.drawHalfEvent() {
		_, _ = io.WriteString(w, event[:len(event)/2])
	}
	_ = http.NewResponseController(w).Flush()
	if u.crash(func() { u.journal.Crashed(run) }) {
		go u.restart(u.config.RestartTime)
	}
	panic(http.ErrAbortHandler)
}

func (u *Upstream) drawHalfEvent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.framing.IntN(2) == 0
}

func deadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// holds reports whether a model and adapter are resident. The caller holds u.mu.
func (u *Upstream) holds(model, adapter string) bool {
	i := u.find(model)
	return i >= 0 && (adapter == "" || slices.Contains(u.models[i].Adapters, adapter))
}

func (u *Upstream) find(model string) int {
	return slices.IndexFunc(u.models, func(r resident) bool { return r.Name == model })
}
