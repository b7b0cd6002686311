package call

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

const (
	bytesPerToken    = 4       // average, for estimates
	prefixBlockBytes = 1024    // prompt bytes in each hashed block
	maxPrefixBlocks  = 64      // blocks hashed per prompt
	maxOutputTokens  = 1 << 20 // largest accepted max_tokens
)

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ModelBody holds the fields of an OpenAI-style request body that are needed to route it. Other fields are passed on unchanged.
type ModelBody struct {
	Model               string                     `json:"model"`
	Messages            []Message                  `json:"messages"`
	Prompt              json.RawMessage            `json:"prompt"`
	MaxTokens           *int64                     `json:"max_tokens"`
	MaxCompletionTokens *int64                     `json:"max_completion_tokens"`
	Stream              bool                       `json:"stream"`
	N                   *int64                     `json:"n"`
	fields              map[string]json.RawMessage // all fields of the body, for Encode
}

// ParseBody parses and validates an OpenAI-style request body.
func ParseBody(data []byte, chat bool) (ModelBody, error) {
	var b ModelBody
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&b); err != nil {
		return b, errors.Annotate(err, "the body is not a JSON object of the expected form")
	}
	if dec.More() {
		return b, errors.NotValidf("text after the JSON body")
	}
	if err := json.Unmarshal(data, &b.fields); err != nil || b.fields == nil {
		return b, errors.NotValidf("body that is not a JSON object")
	}
	switch {
	case b.Model == "":
		return b, errors.NotValidf("missing model")
	case chat && len(b.Messages) == 0:
		return b, errors.NotValidf("empty messages")
	case !chat && len(b.Prompt) == 0:
		return b, errors.NotValidf("missing prompt")
	case b.N != nil && *b.N != 1:
		return b, errors.NotValidf("n other than 1")
	}
	if m := b.requestedMaxTokens(); m != nil && (*m < 1 || *m > maxOutputTokens) {
		return b, errors.NotValidf("max_tokens %d (1 to %d)", *m, maxOutputTokens)
	}
	return b, nil
}

// requestedMaxTokens returns the caller's output limit, or nil. max_completion_tokens replaces the deprecated max_tokens.
func (b *ModelBody) requestedMaxTokens() *int64 {
	if b.MaxCompletionTokens != nil {
		return b.MaxCompletionTokens
	}
	return b.MaxTokens
}

// OutputLimit returns the maximum number of tokens to generate, or fallback if the body has no limit.
func (b *ModelBody) OutputLimit(fallback id.Tokens) id.Tokens {
	if m := b.requestedMaxTokens(); m != nil {
		return id.Tokens(*m)
	}
	return fallback
}

// Text returns the prompt as one string, for estimates and prefix hashes.
func (b *ModelBody) Text() string {
	if len(b.Messages) == 0 {
		return string(b.Prompt)
	}
	var sb strings.Builder
	for _, m := range b.Messages {
		sb.WriteString(m.Role)
		sb.WriteByte(':')
		sb.Write(m.Content)
		sb.WriteByte('\n')
	}
	return sb.String()
}

// EstimateTokens estimates the number of tokens of text from its length.
func EstimateTokens(text string) id.Tokens {
	return id.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// PrefixHashes returns a hash for each leading block of text; hash i covers blocks 0 to i. An incomplete last block is ignored.
func PrefixHashes(text string) []uint64 {
	var list []uint64
	var h uint64
	for n := prefixBlockBytes; n <= len(text) && len(list) < maxPrefixBlocks; n += prefixBlockBytes {
		h = hash.Combine(h, hash.String(text[n-prefixBlockBytes:n]))
		list = append(list, h)
	}
	return list
}

// maxSharedParts is the number of leading parts of a prompt that are checked for crashes of engines.
const maxSharedParts = 64

// SharedParts returns the parts of the prompt that other calls may hold: all messages but the last or, of a text, its leading blocks,
// each with what precedes it.
func (b *ModelBody) SharedParts() (list []string) {
	if len(b.Messages) == 0 {
		for _, h := range PrefixHashes(string(b.Prompt)) {
			list = append(list, strconv.FormatUint(h, 16))
		}
	} else {
		for _, m := range b.Messages[:len(b.Messages)-1] {
			list = append(list, m.Role+":"+string(m.Content))
		}
	}
	return list[:min(len(list), maxSharedParts)]
}

// Resume asks an engine to continue after text that was already delivered.
type Resume struct {
	Tokens id.Tokens `json:"tokens"`
	Text   string    `json:"text"`
}

// Encode returns the request body for an engine: always streaming, with an explicit limit, without the caller's stream options.
func (b *ModelBody) Encode(output id.Tokens, resume *Resume) ([]byte, error) {
	out := make(map[string]json.RawMessage, len(b.fields)+2)
	for k, v := range b.fields {
		switch k {
		case "stream", "stream_options", "max_completion_tokens", "user", "resume":
		default:
			out[k] = v
		}
	}
	out["stream"] = json.RawMessage("true")
	limit, _ := json.Marshal(output)
	out["max_tokens"] = limit
	if resume != nil {
		raw, err := json.Marshal(resume)
		if err != nil {
			return nil, errors.Annotate(err, "encode resume")
		}
		out["resume"] = raw
	}
	data, err := json.Marshal(out)
	return data, errors.Annotate(err, "encode body")
}
