// Package objects is a client for the platform's object store, which implements
// the S3 protocol with path-style addressing.
package objects

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/vanillagate/vanillagate/internal/backing"
)

// Bucket is the bucket for all objects of the system.
const Bucket = "vanillagate"

// MaxObjectBytes is the maximum size of an object that Get reads.
const MaxObjectBytes = 64 << 20

// Store is a backing.ObjectStore over the S3 protocol.
type Store struct{ client *s3.Client }

var _ backing.ObjectStore = (*Store)(nil)

// New returns a Store. It does not connect yet.
func New(cfg backing.StoreConfig) *Store {
	return &Store{client: s3.New(s3.Options{
		BaseEndpoint: aws.String(cfg.URL),
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, ""),
		UsePathStyle: true,
		Retryer:      aws.NopRetryer{},
		HTTPClient:   backing.NewHTTPClient(cfg.HTTP, MaxObjectBytes+1),
		// By default the SDK sends bodies in signed chunks with trailers, which not
		// every S3-compatible store supports.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})}
}

// Get implements backing.ObjectStore.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := s.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(Bucket), Key: aws.String(name)})
	if err != nil {
		return nil, classifyError("get", name, err)
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(out.Body, MaxObjectBytes+1))
	if err != nil {
		return nil, classifyError("get", name, err)
	}
	if len(body) > MaxObjectBytes {
		return nil, fmt.Errorf("objects: get %s: object is larger than %d bytes: %w", name, MaxObjectBytes, backing.ErrNotRun)
	}
	// A truncated response must not be taken for the whole object.
	if want := aws.ToInt64(out.ContentLength); want > 0 && want != int64(len(body)) {
		return nil, fmt.Errorf("objects: get %s: truncated response, %d of %d bytes: %w", name, len(body), want, backing.ErrUnknown)
	}
	return body, nil
}

// Put implements backing.ObjectStore.
func (s *Store) Put(ctx context.Context, name string, body []byte) error {
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket:        aws.String(Bucket),
		Key:           aws.String(name),
		Body:          bytes.NewReader(body),
		ContentLength: aws.Int64(int64(len(body))),
	})
	if err != nil {
		return classifyError("put", name, err)
	}
	return nil
}

func classifyError(call, name string, err error) error {
	if errors.Is(err, backing.ErrNotRun) {
		return fmt.Errorf("objects: %s %s: %w", call, name, err)
	}
	kind := backing.ErrUnknown
	var respErr *smithyhttp.ResponseError
	if errors.As(err, &respErr) {
		status := respErr.HTTPStatusCode()
		switch {
		case status == http.StatusNotFound:
			kind = backing.ErrNotFound
		case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
			kind = backing.ErrNotRun
		}
	}
	return fmt.Errorf("objects: %s %s: %w: %w", call, name, kind, err)
}
