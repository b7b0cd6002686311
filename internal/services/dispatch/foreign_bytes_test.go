package dispatch

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/roster"
)

const chunk3 = `{"choices":[{"delta":{"content":" t3"}}]}`

func endOf(json string) string { return "event: end\nid: r1/2\ndata: " + json + "\n\n" }

// foreignBytes are what an engine in trouble writes into its stream after tokens 1 and 2.
var foreignBytes = map[string]string{
	"text":                              "out of memory\n\n",
	"text with a colon":                 "error: out of memory\n\n",
	"text on the next event":            "out of memory\n" + tokenEvent("r1", 3),
	"head":                              "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\n",
	"bytes":                             "\xff\xfe\x00\x01\n\n",
	"bytes in a comment":                ": \xff\xfe\n\n",
	"bytes in an event":                 "id: r1/3\ndata: {\"choices\":[{\"delta\":{\"content\":\"\xff\"}}]}\n\n",
	"event without ID":                  "data: " + chunk3 + "\n\n",
	"event with an empty ID":            "id:\ndata: " + chunk3 + "\n\n",
	"ID without a number":               "id: r1/\ndata: " + chunk3 + "\n\n",
	"ID with a word":                    "id: r1/x\ndata: " + chunk3 + "\n\n",
	"ID with a sign":                    "id: r1/+3\ndata: " + chunk3 + "\n\n",
	"ID with a leading zero":            "id: r1/03\ndata: " + chunk3 + "\n\n",
	"ID that is too large":              "id: r1/18446744073709551619\ndata: " + chunk3 + "\n\n",
	"ID of another request":             tokenEvent("r2", 3),
	"ID that goes back":                 tokenEvent("r1", 1),
	"ID that comes twice":               tokenEvent("r1", 2),
	"ID that skips one":                 tokenEvent("r1", 4),
	"stream that restarts":              tokenEvent("r1", 1) + tokenEvent("r1", 2) + tokenEvent("r1", 3),
	"event without data":                "id: r1/3\n\n",
	"event that is a name only":         "event: end\n\n",
	"unknown name":                      "event: error\nid: r1/3\ndata: " + chunk3 + "\n\n",
	"two names":                         "event: end\nevent: end\nid: r1/2\ndata: {\"prompt_tokens\":1,\"completion_tokens\":2,\"finish_reason\":\"stop\"}\n\n",
	"empty data":                        "id: r1/3\ndata:\n\n",
	"data that is text":                 "id: r1/3\ndata: out of memory\n\n",
	"data that is a list":               "id: r1/3\ndata: [" + chunk3 + "]\n\n",
	"data that is an error":             "id: r1/3\ndata: {\"error\":{\"message\":\"out of memory\"}}\n\n",
	"data that has no list":             "id: r1/3\ndata: {\"choices\":null}\n\n",
	"data that goes on as text":         "id: r1/3\ndata: " + chunk3 + "out of memory\n\n",
	"data that goes on as JSON":         "id: r1/3\ndata: " + chunk3 + chunk3 + "\n\n",
	"data with a carriage return":       "id: r1/3\ndata: {\r\"choices\":[]}\n\n",
	"half data":                         "id: r1/3\ndata: " + chunk3[:20] + "\n\n",
	"event that goes on as text":        "id: r1/3\ndata: " + chunk3[:20] + "out of memory\n\n",
	"event that goes on as a line":      "id: r1/3\ndata: " + chunk3 + "\nout of memory\n\n",
	"event that goes on as the next":    "id: r1/3\ndata: " + chunk3 + "\n" + tokenEvent("r1", 4),
	"event that goes on as another":     "id: r1/3\nda" + tokenEvent("r1", 4),
	"event that goes on as a head":      "id: r1/3\ndata: " + chunk3 + "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\n",
	"two IDs":                           "id: r1/4\nid: r1/3\ndata: " + chunk3 + "\n\n",
	"two lines of data":                 "id: r1/3\ndata: {\ndata: " + chunk3 + "\n\n",
	"end without fields":                endOf(`{}`),
	"end with another field":            endOf(`{"prompt_tokens":1,"completion_tokens":2,"finish_reason":"stop","error":"x"}`),
	"end without prompt tokens":         endOf(`{"completion_tokens":2,"finish_reason":"stop"}`),
	"end without a reason":              endOf(`{"prompt_tokens":1,"completion_tokens":2}`),
	"end with an empty reason":          endOf(`{"prompt_tokens":1,"completion_tokens":2,"finish_reason":""}`),
	"end with a null":                   endOf(`{"prompt_tokens":null,"completion_tokens":2,"finish_reason":"stop"}`),
	"end with negative tokens":          endOf(`{"prompt_tokens":-1,"completion_tokens":2,"finish_reason":"stop"}`),
	"end with too many tokens":          endOf(`{"prompt_tokens":9223372036854775807,"completion_tokens":2,"finish_reason":"stop"}`),
	"end with a field twice":            endOf(`{"prompt_tokens":1,"completion_tokens":3,"completion_tokens":2,"finish_reason":"stop"}`),
	"end with names in capitals":        endOf(`{"PROMPT_TOKENS":1,"COMPLETION_TOKENS":2,"FINISH_REASON":"stop"}`),
	"end that goes on as text":          endOf(`{"prompt_tokens":1,"completion_tokens":2,"finish_reason":"stop"}out of memory`),
	"end that goes on as a line":        strings.TrimSuffix(endOf(`{"prompt_tokens":1,"completion_tokens":2,"finish_reason":"stop"}`), "\n") + "out of memory\n\n",
	"end of other tokens":               "event: end\nid: r1/2\ndata: {\"prompt_tokens\":1,\"completion_tokens\":3,\"finish_reason\":\"stop\"}\n\n",
	"end without ID":                    "event: end\ndata: {\"prompt_tokens\":1,\"completion_tokens\":2,\"finish_reason\":\"stop\"}\n\n",
	"end of another request":            endEvent("r2", 2),
	"event that goes on as the end":     "id: r1/3\ndata: " + chunk3 + "\n" + endEvent("r1", 3),
	"half an event and the end's event": "id: r1/3\ndata: {\"cho" + endEvent("r1", 3),
}

var (
	soundEvents = tokenEvent("r1", 1) + tokenEvent("r1", 2)
	soundStream = soundEvents + tokenEvent("r1", 3) + endEvent("r1", 3)
	soundChunks = []string{`{"choices":[{"delta":{"content":" t1"}}]}`, `{"choices":[{"delta":{"content":" t2"}}]}`, chunk3}
)

// spoiledStreams returns streams with foreign bytes before an end that looks complete and before further events.
func spoiledStreams(foreign string) map[string]string {
	return map[string]string{
		"before the end":         soundEvents + foreign + endEvent("r1", 2),
		"before the next events": soundEvents + foreign + tokenEvent("r1", 3) + endEvent("r1", 3),
		"at the break":           soundEvents + foreign,
	}
}

func relayed(r io.Reader) (*recordingSink, error) {
	s := &recordingSink{}
	return s, relay(r, "r1", s, &progress{}, &latencyTracker{}, newSilenceTimer(func(bool) bool { return true }))
}

// An engine writes bytes of no run into its stream. The caller gets the tokens before them only, wherever a read ends.
func TestForeignBytesInAStream(t *testing.T) {
	for name, foreign := range foreignBytes {
		for place, body := range spoiledStreams(foreign) {
			t.Run(name+" "+place, func(t *testing.T) {
				for split := range body {
					s, err := relayed(io.MultiReader(strings.NewReader(body[:split]), strings.NewReader(body[split:])))
					require.Error(t, err)
					require.Nil(t, s.end, "the answer looks complete")
					require.Equal(t, soundChunks[:2], s.chunks)
				}
			})
		}
	}
}

func TestForeignBytesBeforeTheFirstToken(t *testing.T) {
	for name, foreign := range foreignBytes {
		if strings.Contains(foreign, "id: r1/1\n") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			s, err := relayed(strings.NewReader(foreign + soundStream))
			require.Error(t, err)
			require.Nil(t, s.end)
			require.Empty(t, s.chunks)
		})
	}
}

// What an error says of a spoiled stream is bounded and names the last sound token.
func TestErrorOfASpoiledStream(t *testing.T) {
	_, err := relayed(strings.NewReader(soundEvents + strings.Repeat("x", maxLineBytes/2) + "\n\n"))
	require.ErrorContains(t, err, "after token 2")
	require.Less(t, len(err.Error()), 300)
}

func TestSoundStreams(t *testing.T) {
	for name, body := range map[string]string{
		"events":                  soundStream,
		"comments":                ": x\n\n" + soundEvents + ":\n\n: y\n: z\n\n" + tokenEvent("r1", 3) + ": end\n" + endEvent("r1", 3),
		"comment inside an event": soundEvents + "id: r1/3\n: x\ndata: " + chunk3 + "\n\n" + endEvent("r1", 3),
		"retry time":              "retry: 10\n" + soundStream,
		"no space after a colon":  strings.ReplaceAll(soundStream, ": ", ":"),
		"carriage returns":        strings.ReplaceAll(soundStream, "\n", "\r\n"),
		"blank lines":             "\n\n" + strings.ReplaceAll(soundStream, "\n\n", "\n\n\n"),
		"byte order mark":         "\ufeff" + soundStream,
		"data before the ID":      soundEvents + "data: " + chunk3 + "\nid: r1/3\n\n" + endEvent("r1", 3),
		"bytes after the end":     soundStream + "out of memory\n\n" + soundStream,
	} {
		t.Run(name, func(t *testing.T) {
			for split := range body {
				s, err := relayed(io.MultiReader(strings.NewReader(body[:split]), strings.NewReader(body[split:])))
				require.NoError(t, err)
				require.Equal(t, soundChunks, s.chunks)
				require.Equal(t, &StreamEnd{PromptTokens: 1, OutputTokens: 3, Reason: "stop"}, s.end)
			}
		})
	}
}

// What reaches the caller is a prefix of a sound stream, however the bytes are split.
func FuzzRelay(f *testing.F) {
	f.Add(soundStream)
	f.Add(strings.ReplaceAll(soundStream, "\n", "\r\n"))
	f.Add("\ufeff: x\n\n" + soundStream + soundStream)
	f.Add("event: end\nid: r1/0\ndata: {}\n\n")
	for _, foreign := range foreignBytes {
		f.Add(soundEvents + foreign + tokenEvent("r1", 3) + endEvent("r1", 3))
	}
	f.Fuzz(func(t *testing.T, body string) {
		s, err := relayed(strings.NewReader(body))
		split, splitErr := relayed(iotest.OneByteReader(strings.NewReader(body)))
		require.Equal(t, s, split)
		require.Equal(t, err == nil, splitErr == nil)
		require.Equal(t, err == nil, s.end != nil)
		for _, c := range s.chunks {
			require.True(t, json.Valid([]byte(c)) && utf8.ValidString(c) && strings.Contains(c, "choices") && !strings.ContainsAny(c, "\r\n"), "%q", c)
		}
		if s.end != nil {
			require.Len(t, s.chunks, int(s.end.OutputTokens))
			require.GreaterOrEqual(t, s.end.PromptTokens, id.Tokens(0))
		}
	})
}

// framings are the ways to write a body, in two parts where the way allows that.
var framings = map[string]func(w io.Writer, first, second string){
	"length": func(w io.Writer, first, second string) {
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", streamHead, len(first)+len(second), first)
		io.WriteString(w, second)
	},
	"chunks": func(w io.Writer, first, second string) {
		io.WriteString(w, streamHead+"Transfer-Encoding: chunked\r\n\r\n")
		for _, s := range []string{first, second} {
			if s != "" {
				fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s)
			}
		}
		io.WriteString(w, "0\r\n\r\n")
	},
	"unframed": func(w io.Writer, first, second string) {
		io.WriteString(w, streamHead+"\r\n"+first)
		io.WriteString(w, second)
	},
}

const streamHead = "HTTP/1.1 200 OK\r\nWagtaillift-Request: r1\r\nContent-Type: text/event-stream\r\n"

// newEngines returns a fleet of n engines of one version on raw sockets. The k-th request that any of them gets, with the tokens that it
// resumes after, is answered by answer, and the connection is closed then.
func newEngines(t *testing.T, n int, answer func(k, tokens int, c net.Conn)) *testFleet {
	b := newTestFleet(t, nil)
	b.d.Roster = roster.New("vm1", "a", 1, func() {})
	var asked atomic.Int32
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		require.NoError(t, b.d.Roster.Announce(clock.SinceBoot(), engine.Announcement{
			Name: id.Upstream(fmt.Sprint("e", i)), Zone: "a", Address: l.Addr().String(), State: engine.Ready, Role: engine.Both, Model: "m", Version: "v1", Incarnation: 7, KVBlocks: 1000,
		}))
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serveEngine(c, &asked, answer)
			}
		}()
	}
	t.Cleanup(b.d.Client.CloseIdle)
	return b
}

func serveEngine(c net.Conn, asked *atomic.Int32, answer func(k, tokens int, c net.Conn)) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if r.Method == http.MethodGet {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+headerIncarnation+": 7\r\nContent-Length: 0\r\n\r\n")
		return
	}
	var body struct{ Resume struct{ Tokens int } }
	if json.NewDecoder(r.Body).Decode(&body) == nil {
		answer(int(asked.Add(1))-1, body.Resume.Tokens, c)
	}
}

// run sends a chat call to the fleet.
func (b *testFleet) run(t *testing.T) (*recordingSink, error) {
	const text = `{"model":"s","messages":[{"role":"user","content":"x"}],"stream":true}`
	m, err := call.ParseBody([]byte(text), true)
	require.NoError(t, err)
	s := &recordingSink{}
	return s, b.d.RunModel(context.Background(), &call.Call{
		ID: "r1", Kind: call.Chat, R: httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil), Config: b.cfg, Model: m, Body: []byte(text),
		Service: service.Service{ID: "s", Kind: service.Model, Model: "m"}, Start: time.Now(), Deadline: time.Now().Add(time.Minute), OutputTokens: 3,
	}, s)
}

func restAfter(tokens int) string {
	var sb strings.Builder
	for n := tokens + 1; n <= 3; n++ {
		sb.WriteString(tokenEvent("r1", n))
	}
	return sb.String() + endEvent("r1", 3)
}

func (b *testFleet) requireWhole(t *testing.T) {
	t.Helper()
	s, err := b.run(t)
	require.NoError(t, err)
	require.Equal(t, soundChunks, s.chunks)
	require.NotNil(t, s.end)
}

// An answer that is spoiled goes on at another engine after its last sound token, in the first attempt and in one that resumes, in each
// framing. Where every engine spoils it, it ends without its end.
func TestForeignBytesFromAnEngine(t *testing.T) {
	for framing, write := range framings {
		for name, foreign := range foreignBytes {
			t.Run(framing+", "+name, func(t *testing.T) {
				t.Parallel()
				spoiled := spoiledStreams(foreign)["before the next events"]
				newEngines(t, 2, func(k, tokens int, c net.Conn) {
					if k == 0 {
						write(c, spoiled[:len(spoiled)/2], spoiled[len(spoiled)/2:])
						return
					}
					write(c, restAfter(tokens), "")
				}).requireWhole(t)
				newEngines(t, 3, func(k, tokens int, c net.Conn) {
					switch k {
					case 0:
						write(c, tokenEvent("r1", 1)+"id: r1/2\nda", "")
					case 1:
						write(c, strings.TrimPrefix(spoiled, tokenEvent("r1", 1)), "")
					default:
						write(c, restAfter(tokens), "")
					}
				}).requireWhole(t)
				b := newEngines(t, 1, func(_, _ int, c net.Conn) { write(c, spoiled, "") })
				b.cfg.Defaults[policy.RetryRatio] = 0
				b.d.budgets.Get(budgetKey{service: "s"}).Begin(true, retryBudgetBurst) // no retry is left
				s, err := b.run(t)
				require.Error(t, err)
				require.Nil(t, s.end)
				require.Equal(t, soundChunks[:2], s.chunks)
			})
		}
	}
}

// The reads of the VM end anywhere in the stream.
func TestSplitStreamFromAnEngine(t *testing.T) {
	for name, foreign := range map[string]string{"sound": "", "text": foreignBytes["text"], "half an event": foreignBytes["event that goes on as the next"]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := spoiledStreams(foreign)["before the next events"]
			for split := 0; split < len(body); split += 7 {
				newEngines(t, 2, func(k, tokens int, c net.Conn) {
					if k == 0 {
						framings["chunks"](c, body[:split], body[split:])
						return
					}
					framings["chunks"](c, restAfter(tokens), "")
				}).requireWhole(t)
			}
		})
	}
}
