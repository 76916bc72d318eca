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

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest holds the parts of a chat completion request that the entry process uses.
type ChatRequest struct {
	Model  string
	Stream bool
	// Fingerprint is the SHA-256 hash of the canonical body without the stream flag. Two
	// requests with the same fingerprint ask for the same completion.
	Fingerprint [sha256.Size]byte
	// PrefixHash is a hash of the model and the start of the prompt.
	PrefixHash uint64
	// Body is the body to send to the upstream. It always requests a stream.
	Body []byte
}

// requestFields holds the fields of the body by name. Unknown fields are forwarded unchanged.
type requestFields map[string]json.RawMessage

const prefixHashBytes = 256 // part of the prompt that PrefixHash covers

var (
	errNoModel    = errors.New(`field "model" must be a text that is not empty`)
	errNoMessages = errors.New(`field "messages" must be a list that is not empty`)
	errBadStream  = errors.New(`field "stream" must be true or false`)
	errNotObject  = errors.New("the body must hold one JSON object")
)

// ParseChat parses and checks the body of a chat completion request.
func ParseChat(body []byte) (ChatRequest, error) {
	var fields requestFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return ChatRequest{}, fmt.Errorf("the body is no JSON object: %w", err)
	}
	if fields == nil {
		return ChatRequest{}, errNotObject
	}
	request, err := fields.parseKnown()
	if err != nil {
		return ChatRequest{}, err
	}
	delete(fields, "stream")
	canonical, err := json.Marshal(fields)
	if err != nil {
		return ChatRequest{}, err
	}
	request.Fingerprint = sha256.Sum256(canonical)
	request.Body = addStreamFlag(canonical)
	return request, nil
}

// parseKnown parses and checks the model, the messages and the stream flag.
func (f requestFields) parseKnown() (ChatRequest, error) {
	var request ChatRequest
	if err := json.Unmarshal(f["model"], &request.Model); err != nil || request.Model == "" {
		return request, errNoModel
	}
	var messages []Message
	if err := json.Unmarshal(f["messages"], &messages); err != nil || len(messages) == 0 {
		return request, errNoMessages
	}
	if raw, ok := f["stream"]; ok {
		if err := json.Unmarshal(raw, &request.Stream); err != nil {
			return request, errBadStream
		}
	}
	request.PrefixHash = hashPrefix(request.Model, messages[0].Content)
	return request, nil
}

// hashPrefix returns a hash of the model and the first prefixHashBytes bytes of the prompt.
func hashPrefix(model, prompt string) uint64 {
	if len(prompt) > prefixHashBytes {
		prompt = prompt[:prefixHashBytes]
	}
	return xxhash.Sum64String(model + "\x00" + prompt)
}

// addStreamFlag adds the stream flag to a canonical JSON object. The object is never empty.
func addStreamFlag(canonical []byte) []byte {
	body := bytes.TrimSuffix(canonical, []byte("}"))
	return append(append([]byte(nil), body...), `,"stream":true}`...)
}

const upstreamIDHashBytes = 8 // part of the fingerprint in an upstream request id

// UpstreamRequestID returns the request id that is sent to engines. All instances derive the
// same id for a request. Requests with different fingerprints get different ids, even if
// the caller gave them the same id.
func UpstreamRequestID(requestID string, fingerprint [sha256.Size]byte) string {
	return requestID + "." + hex.EncodeToString(fingerprint[:upstreamIDHashBytes])
}

// Delta is the content that a chunk adds to the completion.
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

// Chunk is the data of one event in a streamed completion.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
}

// Choice is one choice of a non-streamed completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage reports the number of tokens of a completion.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Completion is the body of a non-streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// The object types of completions, and the data of the event that ends a complete stream.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
	DoneMarker       = "[DONE]"
)
