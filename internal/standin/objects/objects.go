// Package objects emulates the platform's object store: GET, HEAD, PUT and
// DELETE of whole objects with S3 path-style addresses.
package objects

import (
	"bufio"
	"bytes"
	"crypto/md5" // S3 ETags are MD5 sums; they aren't used for security
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
	// Bucket is the name of the only bucket.
	Bucket         = "vanillagate"
	maxObjectBytes = 64 << 20
)

// Store holds the objects in memory. Create it with New.
type Store struct {
	faults  *fault.Set
	latency time.Duration

	mu      sync.Mutex // guards objects; no other lock is taken while it is held
	objects map[string]object
}

type object struct {
	body     []byte
	etag     string
	crc      string // base64 of the big-endian CRC-32
	modified time.Time
}

const headerCRC = "X-Amz-Checksum-Crc32"

func newObject(body []byte) object {
	sum := md5.Sum(body)
	crc := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(body))
	return object{
		body:     body,
		etag:     `"` + hex.EncodeToString(sum[:]) + `"`,
		crc:      base64.StdEncoding.EncodeToString(crc),
		modified: time.Now(),
	}
}

// New returns an empty store. Each call takes the given latency.
func New(faults *fault.Set, latency time.Duration) *Store {
	return &Store{faults: faults, latency: latency, objects: map[string]object{}}
}

// errorXML is the protocol's error response.
type errorXML struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
	Key     string   `xml:"Key,omitempty"`

	status int
}

var (
	errNoKey        = &errorXML{Code: "NoSuchKey", Message: "The specified key does not exist.", status: 404}
	errNoBucket     = &errorXML{Code: "NoSuchBucket", Message: "The specified bucket does not exist.", status: 404}
	errPrecondition = &errorXML{Code: "PreconditionFailed", Message: "At least one of the pre-conditions you specified did not hold", status: 412}
	errNotModified  = &errorXML{Code: "NotModified", status: 304}
	errTooLarge     = &errorXML{Code: "EntityTooLarge", Message: "Your proposed upload exceeds the maximum allowed size", status: 400}
	errIncomplete   = &errorXML{Code: "IncompleteBody", Message: "The body could not be read", status: 400}
	errDigest       = &errorXML{Code: "BadDigest", Message: "The checksum you specified did not match what we received.", status: 400}
	errMethod       = &errorXML{Code: "MethodNotAllowed", Message: "The specified method is not allowed against this resource.", status: 405}
	errSlowDown     = &errorXML{Code: "SlowDown", Message: "Please reduce your request rate.", status: 503}
)

// ServeHTTP handles one API call, with the faults that are set for the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Combined(fault.ScopeObjects)
	if f.Refuse {
		writeError(w, r, errSlowDown)
		return
	}
	outage.Wait(f, s.latency)
	found, problem := s.dispatch(r)
	if s.faults.Sample(f.LoseAnswerShare) {
		outage.Abort()
	}
	if problem != nil {
		writeError(w, r, problem)
		return
	}
	writeObject(w, r, found)
}

func (s *Store) dispatch(r *http.Request) (object, *errorXML) {
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

func (s *Store) get(name string, h http.Header) (object, *errorXML) {
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

func (s *Store) put(name string, r *http.Request) (object, *errorXML) {
	body, problem := readBody(r)
	if problem != nil {
		return object{}, problem
	}
	stored := newObject(body)
	if declared := r.Header.Get(headerCRC); declared != "" && declared != stored.crc {
		return object{}, errDigest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, exists := s.objects[name]
	if m := r.Header.Get("If-Match"); m != "" && !exists {
		return object{}, errNoKey
	} else if m != "" && !matches(m, existing, exists) {
		return object{}, errPrecondition
	}
	if m := r.Header.Get("If-None-Match"); m != "" && matches(m, existing, exists) {
		return object{}, errPrecondition
	}
	s.objects[name] = stored
	return object{etag: stored.etag, crc: stored.crc}, nil
}

func (s *Store) remove(name string) (object, *errorXML) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return object{}, nil
}

// matches tells whether the object exists and has the wanted ETag, or any for "*".
func matches(wanted string, o object, exists bool) bool {
	return exists && (wanted == "*" || strings.Trim(wanted, `"`) == strings.Trim(o.etag, `"`))
}

func readBody(r *http.Request) ([]byte, *errorXML) {
	var source io.Reader = io.LimitReader(r.Body, maxObjectBytes+1)
	if strings.Contains(r.Header.Get("Content-Encoding"), "aws-chunked") {
		source = &chunkReader{reader: bufio.NewReader(source)}
	}
	body, err := io.ReadAll(source)
	if err != nil {
		return nil, errIncomplete
	}
	if len(body) > maxObjectBytes {
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
		w.Header().Set("Last-Modified", o.modified.UTC().Format(http.TimeFormat))
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
		_, _ = io.Copy(w, bytes.NewReader(o.body))
	}
}

func writeError(w http.ResponseWriter, r *http.Request, p *errorXML) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(p.status)
	if r.Method == http.MethodHead || p.status == http.StatusNotModified {
		return
	}
	raw, err := xml.Marshal(p)
	if err != nil {
		panic(err) // unreachable: the type can be encoded
	}
	_, _ = w.Write(append([]byte(xml.Header), raw...))
}
