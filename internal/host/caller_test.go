package host_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/fakes"
)

// clientRequest is one request of a client and its response.
type clientRequest struct {
	method, url, key string
	header           map[string]string
	body             []byte
	stream           bool
	// prompt and maxTokens determine the expected text of a completion. For a resumed
	// stream, earlierText is the text that the earlier request received.
	prompt      []uint32
	maxTokens   int
	earlierText string

	mu          sync.Mutex
	done        chan struct{}
	status      int
	run         string
	retryAfter  int
	cached      int
	serviceRun  int
	text        string
	tokens      int
	lastEventID string
	complete    bool
	failure     string
	duration    time.Duration
}

type reply struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error struct {
		Message string `json:"message"`
		Run     string `json:"run"`
	} `json:"error"`
	Run int `json:"run"`
}

// execute sends the request over a connection of its own and reads the reply.
func (s *clientRequest) execute() {
	defer close(s.done)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, s.method, s.url, bytes.NewReader(s.body))
	if err == nil {
		r.Close = true
		r.Header.Set("Authorization", "Bearer "+s.key)
		for k, v := range s.header {
			r.Header.Set(k, v)
		}
		var resp *http.Response
		if resp, err = http.DefaultClient.Do(r); err == nil {
			defer func() { _ = resp.Body.Close() }()
			err = s.read(resp)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.duration = time.Since(start)
	if err != nil {
		s.failure = err.Error()
	}
}

func (s *clientRequest) read(resp *http.Response) error {
	s.mu.Lock()
	s.status = resp.StatusCode
	s.retryAfter, _ = strconv.Atoi(resp.Header.Get("Retry-After"))
	s.mu.Unlock()
	if s.stream && resp.StatusCode == http.StatusOK {
		return s.events(bufio.NewScanner(resp.Body))
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var v reply
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("reply %q: %w", b, err)
	}
	s.take(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = resp.StatusCode == http.StatusOK
	return nil
}

// events reads a stream; the stream is complete only with [DONE].
func (s *clientRequest) events(lines *bufio.Scanner) error {
	for lines.Scan() {
		s.mu.Lock()
		if id, ok := strings.CutPrefix(lines.Text(), "id:"); ok {
			s.lastEventID = strings.TrimSpace(id)
		}
		s.mu.Unlock()
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		if strings.TrimSpace(data) == "[DONE]" {
			s.mu.Lock()
			s.complete = true
			s.mu.Unlock()
			return nil
		}
		var v reply
		if err := json.Unmarshal([]byte(data), &v); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		s.take(v)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (s *clientRequest) take(v reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range v.Choices {
		s.text += c.Text
		if c.Text != "" {
			s.tokens++
		}
	}
	s.cached = max(s.cached, v.Usage.Details.Cached)
	s.serviceRun = v.Run
	if v.Error.Run != "" {
		s.run, s.failure = v.Error.Run, v.Error.Message
	}
}

// matchesExpected reports whether the received text is the expected one or, if the
// response is incomplete, a prefix of it.
func (s *clientRequest) matchesExpected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	want := fakes.AnswerText(s.prompt, s.maxTokens)
	if s.complete && s.failure == "" {
		return s.earlierText+s.text == want
	}
	return strings.HasPrefix(want, s.earlierText+s.text)
}

// value returns a property that script conditions check.
func (s *clientRequest) value(name string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch name {
	case "status":
		return strconv.Itoa(s.status), nil
	case "run":
		return s.run, nil
	case "retry":
		return strconv.Itoa(s.retryAfter), nil
	case "cached":
		return strconv.Itoa(s.cached), nil
	case "tokens":
		return strconv.Itoa(s.tokens), nil
	case "answer":
		return strconv.Itoa(s.serviceRun), nil
	case "took":
		return strconv.FormatInt(s.duration.Milliseconds(), 10), nil
	case "whole":
		return strconv.FormatBool(s.complete && s.failure == ""), nil
	}
	return "", fmt.Errorf("a request has no property %q", name)
}

// String describes the outcome in the message of a failed check.
func (s *clientRequest) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("status %d, run %q, retry %d, cached %d, %d tokens, answer %d, whole %t, took %s, error %q",
		s.status, s.run, s.retryAfter, s.cached, s.tokens, s.serviceRun, s.complete, s.duration, s.failure)
}

// parsePrompt returns the prompt that SEEDxCOUNT names; prompts of one seed share a
// prefix.
func parsePrompt(spec string) ([]uint32, error) {
	var seed, count uint32
	if _, err := fmt.Sscanf(spec, "%dx%d", &seed, &count); err != nil {
		return nil, fmt.Errorf("prompt %q is not SEEDxCOUNT: %w", spec, err)
	}
	out := make([]uint32, count)
	for i := range out {
		out[i] = seed*1_000_000 + uint32(i)
	}
	return slices.Clip(out), nil
}
