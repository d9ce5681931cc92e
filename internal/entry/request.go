package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	fast "github.com/cloudwego/hertz/pkg/common/json"
)

const (
	// defaultCompletionTokens and defaultChatTokens are the largest numbers of
	// generated tokens when the caller sets no limit. 16 is the default of the
	// OpenAI completions API. The OpenAI chat API has no default; 1,024 bounds the
	// cost of a request that omits the option.
	defaultCompletionTokens = 16
	defaultChatTokens       = 1024
)

// request is the body of a completion or chat completion. The sampling and
// output options of type json.RawMessage are accepted only with their neutral
// values, because the engines' protocol has no field for them.
type request struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`

	// User, Metadata and Store label a request and do not affect the response.
	User     json.RawMessage `json:"user"`
	Metadata json.RawMessage `json:"metadata"`
	Store    json.RawMessage `json:"store"`

	Temperature      json.RawMessage `json:"temperature"`
	TopP             json.RawMessage `json:"top_p"`
	FrequencyPenalty json.RawMessage `json:"frequency_penalty"`
	PresencePenalty  json.RawMessage `json:"presence_penalty"`
	Echo             json.RawMessage `json:"echo"`
	Logprobs         json.RawMessage `json:"logprobs"`
	Suffix           json.RawMessage `json:"suffix"`
	Stop             json.RawMessage `json:"stop"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	Name    string          `json:"name"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parseRequest decodes and validates a body. Its errors never quote the prompt.
func parseRequest(body []byte) (*request, error) {
	var r request
	d := fast.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if d.Decode(&r) != nil || d.More() {
		// The error messages of the fast decoder quote the body.
		if err := decodeStandard(body, &r); err != nil {
			return nil, err
		}
	}
	return &r, r.checkOptions()
}

// decodeStandard decodes a body that the fast decoder rejected with the standard
// decoder, whose errors are typed.
func decodeStandard(body []byte, r *request) error {
	*r = request{}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return decodeError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Invalid("", "the body contains more than one JSON value; send one object")
	}
	return nil
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return Invalid(typeErr.Field, "option %q has JSON type %s; send the type that the OpenAI API defines", typeErr.Field, typeErr.Value)
	case errors.As(err, &syntaxErr):
		return Invalid("", "the body is not valid JSON at byte %d; send one JSON object", syntaxErr.Offset)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		return Invalid(name, "option %q is not supported; omit it", name)
	}
	return Invalid("", "the body is not a JSON object; send one JSON object")
}

// checkOptions rejects options that would change the response and are not
// supported.
func (r *request) checkOptions() error {
	if r.N != nil && *r.N != 1 {
		return Invalid("n", "option \"n\" is %d; only 1 is supported, so send one request for each answer", *r.N)
	}
	if r.BestOf != nil && *r.BestOf != 1 {
		return Invalid("best_of", "option \"best_of\" is %d; only 1 is supported", *r.BestOf)
	}
	options := []struct {
		name    string
		value   json.RawMessage
		neutral []string
	}{
		{"temperature", r.Temperature, []string{"1", "1.0"}},
		{"top_p", r.TopP, []string{"1", "1.0"}},
		{"frequency_penalty", r.FrequencyPenalty, []string{"0", "0.0"}},
		{"presence_penalty", r.PresencePenalty, []string{"0", "0.0"}},
		{"echo", r.Echo, []string{"false"}},
		{"logprobs", r.Logprobs, []string{"false"}},
		{"suffix", r.Suffix, []string{`""`}},
		{"stop", r.Stop, []string{`""`, "[]"}},
	}
	for _, o := range options {
		if !isNeutral(o.value, o.neutral) {
			return Invalid(o.name, "option %q is not supported with this value; omit it", o.name)
		}
	}
	return nil
}

// isNeutral reports whether a value is absent, null or one of the neutral values.
func isNeutral(value json.RawMessage, neutral []string) bool {
	if len(value) == 0 || string(value) == "null" {
		return true
	}
	for _, v := range neutral {
		if string(value) == v {
			return true
		}
	}
	return false
}

// maxOutputTokens returns the largest number of tokens to generate.
func (r *request) maxOutputTokens(defaultTokens int) (int, error) {
	for _, o := range []struct {
		name  string
		value *int
	}{{"max_completion_tokens", r.MaxCompletionTokens}, {"max_tokens", r.MaxTokens}} {
		if o.value == nil {
			continue
		}
		if *o.value < 1 {
			return 0, Invalid(o.name, "option %q is %d; send a positive number of tokens", o.name, *o.value)
		}
		return *o.value, nil
	}
	return defaultTokens, nil
}

// tokens returns the tokens of the prompt. It returns an error if there are none
// or more than limit.
func (r *request) tokens(chat bool, limit int) ([]uint32, error) {
	var tokens []uint32
	var err error
	if chat {
		tokens, err = r.chatTokens(limit)
	} else {
		tokens, err = r.promptTokens(limit)
	}
	param := "prompt"
	if chat {
		param = "messages"
	}
	switch {
	case err != nil:
		return nil, err
	case len(tokens) == 0:
		return nil, Invalid(param, "the prompt is empty; send at least one token")
	case len(tokens) > limit:
		return nil, Invalid(param, "the prompt has more than %d tokens; shorten it", limit)
	}
	return tokens, nil
}

func (r *request) promptTokens(limit int) ([]uint32, error) {
	if r.Messages != nil {
		return nil, Invalid("messages", "completions require \"prompt\"; send messages to /v1/chat/completions")
	}
	prompt := bytes.TrimLeft(r.Prompt, " \t\r\n")
	if len(prompt) == 0 {
		return nil, Invalid("prompt", "option \"prompt\" is missing; send a string or an array of token IDs")
	}
	var text string
	if prompt[0] == '"' {
		if err := fast.Unmarshal(prompt, &text); err != nil {
			return nil, decodeError(err)
		}
		return tokenize(nil, text, limit), nil
	}
	var ids []uint32
	if fast.Unmarshal(prompt, &ids) == nil {
		return ids, nil
	}
	var texts []string
	if fast.Unmarshal(prompt, &texts) == nil && len(texts) == 1 {
		return tokenize(nil, texts[0], limit), nil
	}
	var lists [][]uint32
	if fast.Unmarshal(prompt, &lists) == nil && len(lists) == 1 {
		return lists[0], nil
	}
	return nil, Invalid("prompt",
		"option \"prompt\" is neither one string nor one array of token IDs below 2^32; send one prompt in a request")
}

func (r *request) chatTokens(limit int) ([]uint32, error) {
	if !isNeutral(r.Prompt, nil) {
		return nil, Invalid("prompt", "chat completions require \"messages\"; send a prompt to /v1/completions")
	}
	var tokens []uint32
	for i, m := range r.Messages {
		if m.Role == "" {
			return nil, Invalid("messages", "message %d has no role; send system, user or assistant", i)
		}
		text, err := m.text()
		if err != nil {
			return nil, Invalid("messages", "message %d has content that is not text; send a string or content parts of type text", i)
		}
		tokens = append(tokens, markerToken("role:"+m.Role+":"+m.Name))
		tokens = tokenize(tokens, text, limit)
		tokens = append(tokens, markerToken("end"))
		if len(tokens) > limit {
			return tokens, nil
		}
	}
	if len(tokens) > 0 {
		tokens = append(tokens, markerToken("role:assistant:"))
	}
	return tokens, nil
}

var errNotText = errors.New("content is not text")

// text returns the text of a message, whose content is a string or a list of text
// parts.
func (m message) text() (string, error) {
	var text string
	if fast.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if fast.Unmarshal(m.Content, &parts) != nil {
		return "", errNotText
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", errNotText
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}
