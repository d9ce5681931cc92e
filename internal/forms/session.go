package forms

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	cookieName = "sesamehill"
	// sessionIdleTimeout is how long an idle session lasts. Forms renew it; the pages
	// that refresh themselves do not, so an unattended one ends.
	sessionIdleTimeout = 30 * time.Minute
	// sessionRenewAge is the age at which a session is renewed.
	sessionRenewAge = 5 * time.Minute
	nonceBytes = 16
)

// session is a signed login of one operator.
type session struct {
	nonce string
	expires time.Time
	// token follows from the nonce.
	author string
	formToken  string
}

// login returns a new session for the key.
func (f *Forms) login(key string) (session, bool) {
	author, ok := f.authenticate(key)
	if !ok {
		return session{}, false
	}
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	s := session{
		author: author, nonce: base64.RawURLEncoding.EncodeToString(nonce),
		expires: f.now().Add(sessionIdleTimeout),
	}
	s.formToken = f.sign("form", s.nonce)
	return s, true
}

// session returns the valid session of a request.
func (f *Forms) session(c *app.RequestContext) (session, bool) {
	parts := strings.Split(string(c.Cookie(cookieName)), ".")
	if len(parts) != 4 {
		return session{}, false
	}
	want := f.sign("session", parts[0], parts[1], parts[2])
	if !hmac.Equal([]byte(want), []byte(parts[3])) {
		return session{}, false
	}
	seconds, err := strconv.ParseInt(parts[2], 10, 64)
	s := session{author: parts[0], nonce: parts[1], expires: time.Unix(seconds, 0)}
	if err != nil || !f.now().Before(s.expires) {
		return session{}, false
	}
	s.formToken = f.sign("form", s.nonce)
	return s, true
}

// setSessionCookie writes the session's cookie.
func (f *Forms) setSessionCookie(c *app.RequestContext, s session) {
	until := strconv.FormatInt(s.expires.Unix(), 10)
	value := strings.Join([]string{s.author, s.nonce, until, f.sign("session", s.author, s.nonce, until)}, ".")
	c.SetCookie(cookieName, value, int(sessionIdleTimeout.Seconds()), "/", "", protocol.CookieSameSiteStrictMode, false, true)
}

// renewSession extends a session that is in use.
func (f *Forms) renewSession(c *app.RequestContext, s session) {
	if until := f.now().Add(sessionIdleTimeout); until.Sub(s.expires) >= sessionRenewAge {
		s.expires = until
		f.setSessionCookie(c, s)
	}
}

// clearSessionCookie ends the session at the browser.
func (f *Forms) clearSessionCookie(c *app.RequestContext) {
	c.SetCookie(cookieName, "", -1, "/", "", protocol.CookieSameSiteStrictMode, false, true)
}

// validToken reports whether the request carries the session's form token.
func (s session) validToken(c *app.RequestContext) bool {
	return hmac.Equal([]byte(s.formToken), []byte(c.PostForm("csrf")))
}

func (f *Forms) sign(parts ...string) string {
	m := hmac.New(sha256.New, f.secret)
	for _, p := range parts {
		m.Write([]byte(strconv.Itoa(len(p)) + ":" + p))
	}
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}
