package entry_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	hlog.SetLevel(hlog.LevelFatal)
	RunSpecs(t, "entry")
}

// fakeRunner is a Runner whose runs play a script of one step per line. See
// fakeRun.Next for the steps.
type fakeRunner struct {
	script  []string
	refusal *entry.RefusalError

	mu     sync.Mutex
	prompt entry.Prompt
	call   entry.ServiceCall
	resume string
	// closed receives the error of the run's context when a run is closed.
	closed chan error
	// proceed ends the step "wait".
	proceed chan struct{}
}

func (f *fakeRunner) Authenticate(key string) (entry.Account, error) {
	if key != "keeper-key" {
		return entry.Account{}, &entry.RefusalError{
			Status: 401, Kind: entry.KindAuthentication, Message: "the API key is unknown", Run: entry.RanNo,
		}
	}
	return entry.Account{Name: "keeper", Priority: 3}, nil
}

func (f *fakeRunner) Complete(ctx context.Context, r entry.Prompt) (entry.Run, error) {
	f.mu.Lock()
	f.prompt = r
	f.mu.Unlock()
	return f.start(ctx, 0)
}

func (f *fakeRunner) Resume(ctx context.Context, account, run string, offset int) (entry.Run, error) {
	f.mu.Lock()
	f.resume = account + " " + run + " " + strconv.Itoa(offset)
	f.mu.Unlock()
	return f.start(ctx, offset)
}

func (f *fakeRunner) start(ctx context.Context, offset int) (entry.Run, error) {
	if f.refusal != nil {
		return nil, f.refusal
	}
	return &fakeRun{runner: f, ctx: ctx, script: slices.Clone(f.script), offset: offset}, nil
}

func (f *fakeRunner) Call(_ context.Context, c entry.ServiceCall) (target.Answer, error) {
	f.mu.Lock()
	f.call = c
	f.mu.Unlock()
	if f.refusal != nil {
		return target.Answer{}, f.refusal
	}
	return target.Answer{
		Status: 202, Header: map[string]string{"Content-Type": "text/plain", "Connection": "upgrade"},
		Body: []byte(c.Service + " " + c.Method + " " + c.Path + "?" + c.Query + " " + c.Key + " " + string(c.Body)),
	}, nil
}

func (f *fakeRunner) Models(string) []string { return []string{"advisor", "advisor:night"} }

func (f *fakeRunner) Limits() config.Limits { return config.Limits{Body: 4096, Prompt: 8} }

type fakeRun struct {
	runner *fakeRunner
	ctx    context.Context
	script []string
	offset int
}

func (r *fakeRun) ID() string { return "engine-1:a1" }

func (r *fakeRun) Close() error {
	if r.runner.closed != nil {
		r.runner.closed <- r.ctx.Err()
	}
	return nil
}

// Next plays the next step of the script:
//
//	token TEXT      returns a token
//	done REASON     returns the chunk with Done set
//	break           fails as if the connection was lost
//	refuse MESSAGE  fails with a refusal
//	wait            waits until the test closes proceed
//	panic           panics
func (r *fakeRun) Next() (target.Chunk, error) {
	if len(r.script) == 0 {
		return target.Chunk{}, io.EOF
	}
	step, arg, _ := strings.Cut(r.script[0], " ")
	r.script = r.script[1:]
	switch step {
	case "token":
		c := target.Chunk{Offset: r.offset, Text: arg}
		r.offset++
		return c, nil
	case "done":
		return target.Chunk{Done: true, Reason: arg, Usage: &target.RunUsage{Prompt: 5, CachedTokens: 4, GeneratedTokens: r.offset}}, nil
	case "break":
		return target.Chunk{}, &target.BrokenError{Target: "engine-1", Reason: "connection reset"}
	case "refuse":
		return target.Chunk{}, &entry.RefusalError{
			Status: 503, Kind: entry.KindOverloaded, Message: arg, Run: entry.RanUnknown, Retry: 1500 * time.Millisecond,
		}
	case "wait":
		select {
		case <-r.runner.proceed:
			return r.Next()
		case <-r.ctx.Done():
			return target.Chunk{}, r.ctx.Err()
		}
	case "panic":
		panic("panic step of the fake run")
	}
	return target.Chunk{}, errors.New("unknown step " + step)
}

// serve starts a server on loopback and returns it with its address.
func serve(r entry.Runner, opts ...entry.Option) (*entry.Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	opts = append([]entry.Option{entry.WithDrain(0, 5*time.Second)}, opts...)
	s := entry.New(r, append(opts, entry.WithListener(l))...)
	go func() { _ = s.Serve() }()
	return s, l.Addr().String()
}

// send sends a request that is given as text: the line "METHOD PATH", the header
// fields, an empty line and the body. The body "REPEAT N" stands for N bytes.
func send(address, request string) *http.Response {
	head, body, _ := strings.Cut(request, "\n\n")
	requestLine, fields, _ := strings.Cut(head, "\n")
	method, path, _ := strings.Cut(requestLine, " ")
	body = strings.TrimSuffix(body, "\n")
	if n, ok := strings.CutPrefix(body, "REPEAT "); ok {
		count, err := strconv.Atoi(n)
		Expect(err).NotTo(HaveOccurred())
		body = strings.Repeat("x", count)
	}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	header, err := textproto.NewReader(bufio.NewReader(strings.NewReader(fields + "\n\n"))).ReadMIMEHeader()
	Expect(err).NotTo(HaveOccurred())
	r.Header = http.Header(header)
	if _, ok := header["Authorization"]; !ok {
		r.Header.Set("Authorization", "Bearer keeper-key")
	}
	if r.Header.Get("Transfer-Encoding") == "chunked" {
		r.ContentLength = -1
	}
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	return response
}

// Guards against callers that lose the refusal of a large body: they read the answer only
// after they have sent the body, and what they send to a closed connection resets it.
var _ = Describe("a body that is too large", func() {
	head := "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer keeper-key\r\n"
	piece := strings.Repeat("x", 10_000)
	DescribeTable("is refused after the caller has sent it", func(field, before, after string) {
		s, address := serve(&fakeRunner{})
		defer func() { Expect(s.Drain(context.Background())).To(Succeed()) }()
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, head+field+"\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		for range 12 {
			_, err = io.WriteString(conn, before+piece+after)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(10 * time.Millisecond)
		}
		if after != "" {
			_, err = io.WriteString(conn, "0\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	},
		Entry("in chunks", "Transfer-Encoding: chunked", "2710\r\n", "\r\n"),
		Entry("with a length", "Content-Length: 120000", "", ""),
	)
})

var createdField = regexp.MustCompile(`"created":\d+`)

// readAll returns the body of a response with the time of creation set to 0.
func readAll(response *http.Response) string {
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return createdField.ReplaceAllString(string(b), `"created":0`)
}

// Each script is one exchange with a fake runner. The comment of the file states
// which failure it guards against. Files: request, run (script of the fake run),
// refusal (the error of the fake runner as JSON), status, header, body, and seen
// (what the runner received as JSON). The default status is 200, and the default
// API key is a valid one.
var _ = Describe("scripted exchanges", func() {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		panic("no scripts found in testdata")
	}
	for _, name := range files {
		It(filepath.Base(name), func() {
			archive, err := txtar.ParseFile(name)
			Expect(err).NotTo(HaveOccurred())
			file := map[string]string{}
			for _, f := range archive.Files {
				file[f.Name] = string(f.Data)
			}
			f := &fakeRunner{}
			if s := strings.TrimSuffix(file["run"], "\n"); s != "" {
				f.script = strings.Split(s, "\n")
			}
			if s := file["refusal"]; s != "" {
				Expect(json.Unmarshal([]byte(s), &f.refusal)).To(Succeed())
			}
			s, address := serve(f)
			defer func() { Expect(s.Drain(context.Background())).To(Succeed()) }()
			response := send(address, file["request"])
			body := readAll(response)
			status := cmp.Or(strings.TrimSpace(file["status"]), "200")
			Expect(strconv.Itoa(response.StatusCode)).To(Equal(status), body)
			Expect(strings.TrimSuffix(body, "\n")).To(Equal(strings.TrimSuffix(file["body"], "\n")))
			for l := range strings.Lines(file["header"]) {
				k, v, _ := strings.Cut(strings.TrimSpace(l), ":")
				if k == "Connection" {
					// The HTTP client removes this field from the header.
					Expect(response.Close).To(Equal(strings.TrimSpace(v) == "close"))
					continue
				}
				Expect(response.Header.Get(k)).To(Equal(strings.TrimSpace(v)), k)
			}
			if want, ok := file["seen"]; ok {
				Expect(f.received()).To(MatchJSON(want))
			}
		})
	}
})

var _ = Describe("malformed requests", func() {
	expectRefusal := func(request string, want map[string]any) {
		s, address := serve(&fakeRunner{script: []string{"done"}})
		defer func() { Expect(s.Drain(context.Background())).To(Succeed()) }()
		response := send(address, request)
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		want["type"], want["code"], want["run"] = "invalid_request_error", nil, "no"
		b, err := json.Marshal(map[string]any{"error": want})
		Expect(err).NotTo(HaveOccurred())
		Expect(readAll(response)).To(MatchJSON(b))
	}

	archive, err := txtar.ParseFile("testdata/table/malformed.txtar")
	if err != nil || len(archive.Files) == 0 {
		panic("no malformed requests found in testdata")
	}
	for _, f := range archive.Files {
		It("are refused: "+f.Name, func() {
			lines := strings.Split(strings.TrimSpace(string(f.Data)), "\n")
			Expect(lines).To(HaveLen(3))
			path, body, _ := strings.Cut(lines[1], " ")
			param, message, _ := strings.Cut(lines[2], " ")
			want := map[string]any{"message": message, "param": any(param)}
			if param == "-" {
				want["param"] = nil
			}
			expectRefusal("POST "+path+"\n\n"+body, want)
		})
	}

	// Guards against a malformed ID that resumes a stream at the wrong token.
	DescribeTable("are refused for a malformed Last-Event-ID", func(id, problem string) {
		expectRefusal("POST /v1/completions\nLast-Event-ID: "+id+"\n\n", map[string]any{
			"message": "header Last-Event-ID " + problem + "; send the last ID received", "param": "Last-Event-ID",
		})
	},
		Entry("no run", "7", `is not "run:offset"`),
		Entry("an empty run", ":7", `is not "run:offset"`),
		Entry("a word", "engine-1:a1:x", "does not end in a token offset"),
		Entry("an offset before the start", "engine-1:a1:-2", "does not end in a token offset"),
		Entry("leading zeros", "engine-1:a1:007", "does not end in a token offset"),
	)
})

// received returns what the runner received as JSON. The deadline is relative to
// the time of arrival, which is cleared.
func (f *fakeRunner) received() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.prompt.Deadline; !d.IsZero() {
		f.prompt.Deadline = time.Time{}.Add(d.Sub(f.prompt.Arrived))
	}
	f.prompt.Arrived, f.call.Arrived = time.Time{}, time.Time{}
	var v any = f.prompt
	switch {
	case f.resume != "":
		v = f.resume
	case f.call.Service != "":
		v = f.call
	}
	b, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}
