package signer

import (
	"crypto/hmac"
	"encoding/base64"
	"errors"
	"hash"
	"io"
	"net/http"
	"strconv"
)

const (
	headHeader    = "Cornellanding-Head"
	bodyTagHeader = "Cornellanding-Body-Tag"
	headLabel     = "head"
	bodyLabel     = "body"
)

// ErrBadBody is returned for a body that is not the one that its head announced.
var ErrBadBody = errors.New("signer: the body is not the announced one")

// BodyHash computes the tag of a body that is written to it piece by piece.
type BodyHash struct {
	si  *Signer
	mac hash.Hash
}

// NewBodyHash returns the hash of an empty body. Sum must be called once.
func (si *Signer) NewBodyHash() *BodyHash {
	mac := si.macs.Get().(hash.Hash)
	mac.Reset()
	mac.Write([]byte(bodyLabel))
	return &BodyHash{si: si, mac: mac}
}

// Write implements io.Writer. It never fails.
func (bh *BodyHash) Write(piece []byte) (int, error) { return bh.mac.Write(piece) }

// Sum returns the tag and ends the use of the hash.
func (bh *BodyHash) Sum() []byte {
	defer bh.si.macs.Put(bh.mac)
	return bh.mac.Sum(nil)
}

// headTag returns the tag of a head, which binds the path and the body too.
func (si *Signer) headTag(path string, head []byte, length int64, bodyTag []byte) []byte {
	return si.sum([]byte(headLabel), []byte(path), head, strconv.AppendInt(nil, length, 10), bodyTag)
}

// RoundTripStream sends a request whose head goes before its body, signed on its own, and
// verifies the response. body is read twice by readers from newReader, first for its tag.
// re must have its ContentLength, and no body.
func (si *Signer) RoundTripStream(base http.RoundTripper, re *http.Request, head []byte, newReader func() io.Reader) (*http.Response, error) {
	bh := si.NewBodyHash()
	_, err := io.Copy(bh, newReader())
	bodyTag := bh.Sum()
	if err != nil {
		return nil, err
	}
	tag := si.headTag(re.URL.Path, head, re.ContentLength, bodyTag)
	re.Header.Set(headHeader, base64.RawStdEncoding.EncodeToString(head))
	re.Header.Set(bodyTagHeader, base64.RawStdEncoding.EncodeToString(bodyTag))
	re.Header.Set(tagHeader, base64.RawStdEncoding.EncodeToString(tag))
	re.Body = io.NopCloser(newReader())
	answer, err := base.RoundTrip(re)
	if err != nil {
		return nil, err
	}
	return si.verify(answer, tag)
}

// Head is the verified head of a request whose body follows.
type Head struct {
	// Content is what the sender passed as the head, and Length the size of the body in
	// bytes.
	Content []byte
	Length  int64
	tag     []byte
	bodyTag []byte
}

// ReadHead returns the head of a request, or false if its tag is missing or invalid. It
// doesn't read the body.
func (si *Signer) ReadHead(re *http.Request) (Head, bool) {
	he := Head{Length: re.ContentLength}
	var err, errTag, errBody error
	he.Content, err = base64.RawStdEncoding.DecodeString(re.Header.Get(headHeader))
	he.bodyTag, errBody = base64.RawStdEncoding.DecodeString(re.Header.Get(bodyTagHeader))
	he.tag, errTag = base64.RawStdEncoding.DecodeString(re.Header.Get(tagHeader))
	if errors.Join(err, errTag, errBody) != nil || he.Length < 0 {
		return Head{}, false
	}
	return he, hmac.Equal(he.tag, si.headTag(re.URL.Path, he.Content, he.Length, he.bodyTag))
}

// Check returns ErrBadBody unless the tag of the body, see BodyHash, is the announced one.
func (he Head) Check(bodyTag []byte) error {
	if !hmac.Equal(he.bodyTag, bodyTag) {
		return ErrBadBody
	}
	return nil
}

// WriteSigned writes a response to the request with the head.
func (si *Signer) WriteSigned(wr http.ResponseWriter, he Head, status int, body []byte) {
	bu := &bufferedResponse{header: wr.Header(), status: status}
	// Write of a buffer never fails.
	_, _ = bu.Write(body)
	si.writeSigned(wr, bu, he.tag)
}
