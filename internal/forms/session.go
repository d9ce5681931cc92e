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
	// sessionIdleTimeout is the time after which an idle session expires. Pages renew
	// the session, except those that refresh themselves, so that an unattended one
	// expires.
	sessionIdleTimeout = 30 * time.Minute
	// sessionRenewAge is the minimum age at which a request renews a session.
	sessionRenewAge = 5 * time.Minute
	nonceBytes      = 16
)

// session is the login of one operator, stored in a signed cookie.
type session struct {
	nonce   string
	expires time.Time
	author  string
	// formToken guards forms against forgery from other sites. It is derived from
	// the nonce.
	formToken string
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

// session returns the session in the request's cookie, if its signature is valid
// and it has not expired.
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

// setSessionCookie writes the signed session to the response's cookie.
func (f *Forms) setSessionCookie(c *app.RequestContext, s session) {
	until := strconv.FormatInt(s.expires.Unix(), 10)
	value := strings.Join([]string{s.author, s.nonce, until, f.sign("session", s.author, s.nonce, until)}, ".")
	c.SetCookie(cookieName, value, int(sessionIdleTimeout.Seconds()), "/", "", protocol.CookieSameSiteStrictMode, false, true)
}

// renewSession extends the session if it is at least sessionRenewAge old.
func (f *Forms) renewSession(c *app.RequestContext, s session) {
	if until := f.now().Add(sessionIdleTimeout); until.Sub(s.expires) >= sessionRenewAge {
		s.expires = until
		f.setSessionCookie(c, s)
	}
}

// clearSessionCookie makes the browser delete the session cookie.
func (f *Forms) clearSessionCookie(c *app.RequestContext) {
	c.SetCookie(cookieName, "", -1, "/", "", protocol.CookieSameSiteStrictMode, false, true)
}

// validToken reports whether the request carries the session's form token.
func (s session) validToken(c *app.RequestContext) bool {
	return hmac.Equal([]byte(s.formToken), []byte(c.PostForm("csrf")))
}

// sign returns the signature of the parts. Each part is prefixed with its length,
// so that different lists of parts never sign the same bytes.
func (f *Forms) sign(parts ...string) string {
	m := hmac.New(sha256.New, f.secret)
	for _, p := range parts {
		m.Write([]byte(strconv.Itoa(len(p)) + ":" + p))
	}
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}
