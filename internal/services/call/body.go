package call

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

const (
	bytesPerToken = 4
	blockBytes    = 1024 // prompt bytes a prefix hash covers
	maxBlocks     = 64
	maxOutput     = 1 << 20
)

// Message is one turn of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ModelBody is the part of an OpenAI-style request body that decisions need. Other fields pass unchanged.
type ModelBody struct {
	Model     string          `json:"model"`
	Messages  []Message       `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens *int64          `json:"max_tokens"`
	Newer     *int64          `json:"max_completion_tokens"`
	Stream    bool            `json:"stream"`
	N         *int64          `json:"n"`
	fields    map[string]json.RawMessage
}

// ParseBody reads an OpenAI-style request body.
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
	if m := b.limit(); m != nil && (*m < 1 || *m > maxOutput) {
		return b, errors.NotValidf("max_tokens %d (1 to %d)", *m, maxOutput)
	}
	return b, nil
}

func (b *ModelBody) limit() *int64 {
	if b.Newer != nil {
		return b.Newer
	}
	return b.MaxTokens
}

// OutputLimit returns the most tokens to generate, or otherwise where the body names none.
func (b *ModelBody) OutputLimit(otherwise id.Tokens) id.Tokens {
	if m := b.limit(); m != nil {
		return id.Tokens(*m)
	}
	return otherwise
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

// EstimateTokens returns the tokens of text, from its length.
func EstimateTokens(text string) id.Tokens {
	return id.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// Blocks returns the hash of each leading whole block of text; hash i covers blocks 0 to i.
func Blocks(text string) []uint64 {
	var list []uint64
	var h uint64
	for n := blockBytes; n <= len(text) && len(list) < maxBlocks; n += blockBytes {
		h = hash.Pair(h, hash.String(text[n-blockBytes:n]))
		list = append(list, h)
	}
	return list
}

// Resume asks an engine to go on after text that was already delivered.
type Resume struct {
	Tokens id.Tokens `json:"tokens"`
	Text   string    `json:"text"`
}

// Encode returns the body for an engine: always streamed, with an explicit limit, without the caller's stream options.
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
