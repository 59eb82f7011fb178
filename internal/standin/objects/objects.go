// Package objects emulates the platform's object store: GET, HEAD, PUT and
// DELETE of whole objects in the S3 path style.
package objects

import (
	"bufio"
	"bytes"
	"crypto/md5" // an ETag of this protocol is an MD5, not a protection
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/xml"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/outage"
)

const (
	// Bucket is the one bucket's name.
	Bucket    = "vanillagate"
	maxObject = 64 << 20
)

// Store holds the objects. Use New.
type Store struct {
	faults  *fault.Set
	latency time.Duration

	mu      sync.Mutex // guards objects; a leaf
	objects map[string]object
}

type object struct {
	body []byte
	etag string
	crc  string // base64 of the big-endian CRC-32
	at   time.Time
}

const headerCRC = "X-Amz-Checksum-Crc32"

func newObject(body []byte) object {
	sum := md5.Sum(body)
	crc := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(body))
	return object{
		body: body,
		etag: `"` + hex.EncodeToString(sum[:]) + `"`,
		crc:  base64.StdEncoding.EncodeToString(crc),
		at:   time.Now(),
	}
}

// New builds an empty store whose calls take the latency.
func New(faults *fault.Set, latency time.Duration) *Store {
	return &Store{faults: faults, latency: latency, objects: map[string]object{}}
}

// problemXML is the protocol's error answer.
type problemXML struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
	Key     string   `xml:"Key,omitempty"`

	status int
}

var (
	errNoKey        = &problemXML{Code: "NoSuchKey", Message: "The specified key does not exist.", status: 404}
	errNoBucket     = &problemXML{Code: "NoSuchBucket", Message: "The specified bucket does not exist.", status: 404}
	errPrecondition = &problemXML{Code: "PreconditionFailed", Message: "At least one of the pre-conditions you specified did not hold", status: 412}
	errNotModified  = &problemXML{Code: "NotModified", status: 304}
	errTooLarge     = &problemXML{Code: "EntityTooLarge", Message: "Your proposed upload exceeds the maximum allowed size", status: 400}
	errIncomplete   = &problemXML{Code: "IncompleteBody", Message: "The body could not be read", status: 400}
	errDigest       = &problemXML{Code: "BadDigest", Message: "The checksum you specified did not match what we received.", status: 400}
	errMethod       = &problemXML{Code: "MethodNotAllowed", Message: "The specified method is not allowed against this resource.", status: 405}
	errSlowDown     = &problemXML{Code: "SlowDown", Message: "Please reduce your request rate.", status: 503}
)

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Combined(fault.ScopeObjects)
	if f.Refuse {
		writeError(w, r, errSlowDown)
		return
	}
	outage.Wait(f, s.latency)
	found, problem := s.call(r)
	if s.faults.Sample(f.LoseAnswerShare) {
		outage.Abort()
	}
	if problem != nil {
		writeError(w, r, problem)
		return
	}
	writeObject(w, r, found)
}

func (s *Store) call(r *http.Request) (object, *problemXML) {
	bucket, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if bucket != Bucket {
		return object{}, errNoBucket
	}
	if name == "" {
		return object{}, errMethod
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead:
		return s.get(name, r.Header)
	case http.MethodPut:
		return s.put(name, r)
	case http.MethodDelete:
		return s.remove(name)
	}
	return object{}, errMethod
}

func (s *Store) get(name string, h http.Header) (object, *problemXML) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.objects[name]
	if !exists {
		return object{}, errNoKey
	}
	if m := h.Get("If-Match"); m != "" && !matches(m, found, exists) {
		return object{}, errPrecondition
	}
	if m := h.Get("If-None-Match"); m != "" && matches(m, found, exists) {
		return object{}, errNotModified
	}
	return found, nil
}

func (s *Store) put(name string, r *http.Request) (object, *problemXML) {
	body, problem := readBody(r)
	if problem != nil {
		return object{}, problem
	}
	stored := newObject(body)
	if told := r.Header.Get(headerCRC); told != "" && told != stored.crc {
		return object{}, errDigest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	standing, exists := s.objects[name]
	if m := r.Header.Get("If-Match"); m != "" && !exists {
		return object{}, errNoKey
	} else if m != "" && !matches(m, standing, exists) {
		return object{}, errPrecondition
	}
	if m := r.Header.Get("If-None-Match"); m != "" && matches(m, standing, exists) {
		return object{}, errPrecondition
	}
	s.objects[name] = stored
	return object{etag: stored.etag, crc: stored.crc}, nil
}

func (s *Store) remove(name string) (object, *problemXML) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return object{}, nil
}

func matches(wanted string, o object, exists bool) bool {
	return exists && (wanted == "*" || strings.Trim(wanted, `"`) == strings.Trim(o.etag, `"`))
}

func readBody(r *http.Request) ([]byte, *problemXML) {
	var from io.Reader = io.LimitReader(r.Body, maxObject+1)
	if strings.Contains(r.Header.Get("Content-Encoding"), "aws-chunked") {
		from = &chunkReader{lines: bufio.NewReader(from)}
	}
	body, err := io.ReadAll(from)
	if err != nil {
		return nil, errIncomplete
	}
	if len(body) > maxObject {
		return nil, errTooLarge
	}
	return body, nil
}

func writeObject(w http.ResponseWriter, r *http.Request, o object) {
	if o.etag != "" {
		w.Header().Set("ETag", o.etag)
	}
	if o.crc != "" {
		w.Header().Set(headerCRC, o.crc)
	}
	switch r.Method {
	case http.MethodDelete:
		w.WriteHeader(http.StatusNoContent)
	case http.MethodPut:
		w.WriteHeader(http.StatusOK)
	default:
		w.Header().Set("Last-Modified", o.at.UTC().Format(http.TimeFormat))
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
		_, _ = io.Copy(w, bytes.NewReader(o.body))
	}
}

func writeError(w http.ResponseWriter, r *http.Request, p *problemXML) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(p.status)
	if r.Method == http.MethodHead || p.status == http.StatusNotModified {
		return
	}
	raw, err := xml.Marshal(p)
	if err != nil {
		panic(err) // our own type can always be encoded
	}
	_, _ = w.Write(append([]byte(xml.Header), raw...))
}
