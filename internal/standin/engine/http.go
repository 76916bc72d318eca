package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/protocol/sse"
	"savoryweir/internal/state/order"
)

const maxBodyBytes = 8 << 20

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { e.setHeaders(w) })
	mux.HandleFunc("POST /admin/fault", e.serveFault)
	mux.HandleFunc("POST /admin/clear", func(http.ResponseWriter, *http.Request) { e.ClearFaults() })
	mux.HandleFunc("POST /admin/leaving", func(_ http.ResponseWriter, r *http.Request) {
		e.SetLeaving(r.URL.Query().Get("value") != "false")
	})
	mux.HandleFunc("GET /admin/started", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, e.Started()) })
	if e.settings.Memory != nil {
		mux.Handle("/", e.settings.Memory.Handler())
	}
	return mux
}

func (e *Engine) setHeaders(w http.ResponseWriter) {
	load := e.Load()
	w.Header().Set(httpapi.HeaderLoadRunning, strconv.Itoa(load.Running))
	w.Header().Set(httpapi.HeaderLoadWaiting, strconv.Itoa(load.Waiting))
	if e.leaving.Load() {
		w.Header().Set(httpapi.HeaderLeaving, "true")
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.setHeaders(w)
	_ = json.NewEncoder(w).Encode(e.Load())
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Inject(f)
}

// chatRequest is what the engine reads of a request.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []httpapi.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

func (c chatRequest) prompt() string {
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Content)
	}
	return c.Model + "\x00" + text.String()
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.setHeaders(w)
	id := r.Header.Get(httpapi.HeaderRequestID)
	w.Header().Set(httpapi.HeaderRequestID, id)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.settings.CrashMarker != "" && strings.Contains(string(body), e.settings.CrashMarker) && e.settings.OnCrash != nil {
		e.settings.OnCrash()
		return
	}
	offset, _ := strconv.Atoi(r.Header.Get(httpapi.HeaderResumeOffset))
	fault := e.faults.take(string(body), offset > 0)
	if fault.Kind == FaultRefuse {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if !e.settings.serves(request.Model) {
		refuse(w, http.StatusNotFound)
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = DefaultTokens
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	priority, _ := strconv.Atoi(r.Header.Get(httpapi.HeaderPriority))
	s := e.submit(ctx, request.prompt(), priority, offset, request.MaxTokens)
	answer := &answer{engine: e, w: w, id: id, request: request, fault: fault}
	if request.Stream {
		answer.stream(ctx, s)
		return
	}
	answer.whole(ctx, s)
}

// refuse answers a request that does not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(httpapi.HeaderOutcome, string(order.OutcomeNotRun))
	w.WriteHeader(status)
}

// answer writes the tokens of one request.
type answer struct {
	engine  *Engine
	w       http.ResponseWriter
	id      string
	request chatRequest
	fault   Fault
}

func (a *answer) stream(ctx context.Context, s *sequence) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(a.w)
	_ = flusher.Flush()
	sent := 0
	skip := a.fault.Kind == FaultWrongOffset
	for offset := range s.tokens {
		if skip {
			skip = false
			continue
		}
		if sent == a.fault.After && a.fail(ctx, offset) {
			return
		}
		if _, err := a.w.Write(a.event(a.id, offset)); err != nil {
			return
		}
		_ = flusher.Flush()
		sent++
	}
	if ctx.Err() != nil || s.next <= s.end || a.fault.Kind == FaultNoEnd {
		return
	}
	_, _ = a.w.Write(sse.Append(nil, sse.Event{Data: []byte(httpapi.DoneMarker)}))
}

// fail shows the fault and reports whether the answer ends with it.
func (a *answer) fail(ctx context.Context, offset int) bool {
	switch a.fault.Kind {
	case FaultSilent:
		<-ctx.Done()
		return true
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultCrash:
		if a.engine.settings.OnCrash != nil {
			a.engine.settings.OnCrash()
		}
		return true
	case FaultDoubled:
		_, _ = a.w.Write(a.event(a.id, offset))
	case FaultCrossed:
		_, _ = a.w.Write(a.event("another-request", offset))
	}
	return false
}

func (a *answer) event(id string, offset int) []byte {
	choice := httpapi.ChunkChoice{Delta: httpapi.Delta{Content: Token(a.request.prompt(), offset)}}
	if offset == a.request.MaxTokens {
		reason := "stop"
		choice.FinishReason = &reason
	}
	data, _ := json.Marshal(httpapi.Chunk{
		ID: id, Object: httpapi.ObjectChunk, Model: a.request.Model, Choices: []httpapi.ChunkChoice{choice},
	})
	return sse.Append(nil, sse.Event{ID: offset, Data: data})
}

func (a *answer) whole(ctx context.Context, s *sequence) {
	var text strings.Builder
	count := 0
	for offset := range s.tokens {
		text.WriteString(Token(a.request.prompt(), offset))
		count++
	}
	if ctx.Err() != nil {
		return
	}
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(httpapi.Completion{
		ID: a.id, Object: httpapi.ObjectCompletion, Model: a.request.Model,
		Choices: []httpapi.Choice{{Message: httpapi.Message{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
		Usage:   httpapi.Usage{CompletionTokens: count},
	})
}

// Token returns the token at offset of the answer to a prompt. It is the same on
// all engines. A prompt is the model and all messages, as in Prompt.
func Token(prompt string, offset int) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, prompt)
	_, _ = io.WriteString(h, strconv.Itoa(offset))
	return fmt.Sprintf("%d:%04x ", offset, h.Sum32()&0xffff)
}

// Prompt returns the prompt of a model and one message.
func Prompt(model, content string) string { return model + "\x00" + content }

// Text returns the whole answer to a prompt.
func Text(prompt string, tokens int) string {
	var text strings.Builder
	for offset := 1; offset <= tokens; offset++ {
		text.WriteString(Token(prompt, offset))
	}
	return text.String()
}
