package objects

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/gate"
)

func open(t *testing.T) (*s3.Client, *fault.Set) {
	t.Helper()
	faults := fault.NewSet(1)
	g, err := gate.Open("127.0.0.1:0", New(faults, 0))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, g.Stop()) })
	return s3.New(s3.Options{
		Region:           "r1",
		BaseEndpoint:     aws.String("http://" + g.Address()),
		UsePathStyle:     true,
		Credentials:      credentials.NewStaticCredentialsProvider("id", "secret", ""),
		HTTPClient:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		RetryMaxAttempts: 1,
	}), faults
}

func put(c *s3.Client, name, body, match, noneMatch string) (*s3.PutObjectOutput, error) {
	in := &s3.PutObjectInput{Bucket: aws.String(Bucket), Key: aws.String(name), Body: bytes.NewReader([]byte(body))}
	if match != "" {
		in.IfMatch = aws.String(match)
	}
	if noneMatch != "" {
		in.IfNoneMatch = aws.String(noneMatch)
	}
	return c.PutObject(context.Background(), in)
}

func get(c *s3.Client, name string) (string, error) {
	out, err := c.GetObject(context.Background(), &s3.GetObjectInput{Bucket: aws.String(Bucket), Key: aws.String(name)})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(out.Body)
	return string(body), err
}

func errorCode(err error) string {
	var api smithy.APIError
	if errors.As(err, &api) {
		return api.ErrorCode()
	}
	return ""
}

func TestPutAndGetObject(t *testing.T) {
	c, _ := open(t)
	_, err := get(c, "snapshots/1")
	var noKey *types.NoSuchKey
	assert.Assert(t, errors.As(err, &noKey), "%v", err)
	_, err = put(c, "snapshots/1", "whole body", "", "")
	assert.NilError(t, err)
	body, err := get(c, "snapshots/1")
	assert.NilError(t, err)
	assert.Equal(t, body, "whole body")
	head, err := c.HeadObject(context.Background(), &s3.HeadObjectInput{Bucket: aws.String(Bucket), Key: aws.String("snapshots/1")})
	assert.NilError(t, err)
	assert.Equal(t, *head.ContentLength, int64(10))
}

func TestConditionalPuts(t *testing.T) {
	c, _ := open(t)
	first, err := put(c, "a", "1", "", "*")
	assert.NilError(t, err)
	_, err = put(c, "a", "2", "", "*")
	assert.Equal(t, errorCode(err), "PreconditionFailed")
	_, err = put(c, "a", "2", *first.ETag, "")
	assert.NilError(t, err)
	_, err = put(c, "a", "3", *first.ETag, "")
	assert.Equal(t, errorCode(err), "PreconditionFailed")
	body, err := get(c, "a")
	assert.NilError(t, err)
	assert.Equal(t, body, "2")
}

// The response to a PUT is lost after the object was stored: the client gets an
// error although the object exists.
func TestLostAnswer(t *testing.T) {
	c, faults := open(t)
	faults.Put(fault.ScopeObjects, fault.Fault{LoseAnswerShare: 1})
	_, err := put(c, "a", "1", "", "")
	assert.Assert(t, err != nil)
	faults.Put(fault.ScopeObjects, fault.Fault{})
	body, err := get(c, "a")
	assert.NilError(t, err)
	assert.Equal(t, body, "1")
}

func TestChunkedBody(t *testing.T) {
	r := &http.Request{
		Header: http.Header{"Content-Encoding": {"aws-chunked"}},
		Body:   io.NopCloser(strings.NewReader("5\r\nhello\r\n1;chunk-signature=x\r\n!\r\n0\r\nx-amz-checksum-crc32:a\r\n\r\n")),
	}
	body, problem := readBody(r)
	assert.Assert(t, problem == nil)
	assert.Equal(t, string(body), "hello!")
}
