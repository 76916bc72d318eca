package httpapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of a chat completion request that routing needs.
type ChatRequest struct {
	Model  string
	Stream bool
	// Fingerprint identifies the work: the hash of the body without the stream flag.
	Fingerprint [sha256.Size]byte
	// PrefixHash identifies the start of the prompt.
	PrefixHash uint64
	// Body is the request as sent upstream, always as a stream.
	Body []byte
}

// chatFields are the body's fields, of which the unknown ones pass unchanged.
type chatFields map[string]json.RawMessage

const prefixHashBytes = 256

var (
	errNoModel    = errors.New(`field "model" must be a text that is not empty`)
	errNoMessages = errors.New(`field "messages" must be a list that is not empty`)
	errBadStream  = errors.New(`field "stream" must be true or false`)
	errTrailing   = errors.New("the body must hold one JSON object")
)

// ParseChat checks the body of a chat completion request.
func ParseChat(body []byte) (ChatRequest, error) {
	var fields chatFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return ChatRequest{}, fmt.Errorf("the body is no JSON object: %w", err)
	}
	if fields == nil {
		return ChatRequest{}, errTrailing
	}
	parsed, err := fields.known()
	if err != nil {
		return ChatRequest{}, err
	}
	delete(fields, "stream")
	canonical, err := json.Marshal(fields)
	if err != nil {
		return ChatRequest{}, err
	}
	parsed.Fingerprint = sha256.Sum256(canonical)
	parsed.Body = withStream(canonical)
	return parsed, nil
}

func (f chatFields) known() (ChatRequest, error) {
	var parsed ChatRequest
	if err := json.Unmarshal(f["model"], &parsed.Model); err != nil || parsed.Model == "" {
		return parsed, errNoModel
	}
	var messages []Message
	if err := json.Unmarshal(f["messages"], &messages); err != nil || len(messages) == 0 {
		return parsed, errNoMessages
	}
	if raw, ok := f["stream"]; ok {
		if err := json.Unmarshal(raw, &parsed.Stream); err != nil {
			return parsed, errBadStream
		}
	}
	parsed.PrefixHash = hashPrefix(parsed.Model, messages[0].Content)
	return parsed, nil
}

func hashPrefix(model, prompt string) uint64 {
	if len(prompt) > prefixHashBytes {
		prompt = prompt[:prefixHashBytes]
	}
	return xxhash.Sum64String(model + "\x00" + prompt)
}

// withStream adds the stream flag to a canonical object, which is never empty.
func withStream(canonical []byte) []byte {
	body := bytes.TrimSuffix(canonical, []byte("}"))
	return append(append([]byte(nil), body...), `,"stream":true}`...)
}

const upstreamIDHashBytes = 8

// UpstreamRequestID is the id under which engines know the work. It is the same
// at all entry instances, and differs between works that share a caller's id.
func UpstreamRequestID(requestID string, fingerprint [sha256.Size]byte) string {
	return requestID + "." + hex.EncodeToString(fingerprint[:upstreamIDHashBytes])
}

// Delta is the new content of a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is one choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is the data of one event of a streamed completion.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
}

// Choice is one choice of a whole completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage counts the tokens of a completion.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Completion is a whole, not streamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// The object names of completions, and the data that ends a whole stream.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
	DoneMarker       = "[DONE]"
)
