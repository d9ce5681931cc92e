//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// requestTime is the deadline of each request.
const requestTime = 4 * time.Second

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
