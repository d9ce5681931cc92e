//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// requestTime is the deadline of each request.
const requestTime = 4 * time.Second

// get sends a request byte for byte on a new connection and returns the status of the answer; zero if
// there is none.
func (r *rig) get(target, id string) int {
	conn, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTime)) // without it the test ends by its limit
	_, _ = fmt.Fprintf(
		conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nConnection: close\r\n\r\n",
		target, routeHost, name("request id"), id, name("deadline"), requestTime.Milliseconds(), name("key"), apiKey,
	)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// book sends a request that may run once, on a new connection.
func (r *rig) book(id string) (status int, whole bool) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+r.front+"/bobo563/lo7/2f", strings.NewReader("book "+id))
	r.must(err)
	req.Host = routeHost
	req.Header.Set(name("request id"), id)
	req.Header.Set(name("deadline"), fmt.Sprint(requestTime.Milliseconds()))
	req.Header.Set(name("key"), apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil && string(body) == "done "+id
}
