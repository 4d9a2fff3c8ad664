package crowder

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cornellanding.example/port/receiver"
	"cornellanding.example/standin/platformer"
)

// Endless is a way in which a faulty backend server sends bytes without end. It writes Start
// and then Piece again and again, until the connection is closed.
type Endless struct {
	Name  string
	Start string
	Piece string
	// HasAnswer means that Start is a complete answer.
	HasAnswer bool
}

const (
	endlessPath     = "/endless/"
	endlessBlock    = 4096
	endlessDeadline = 2 * time.Second
	// idMark stands for the ID of the request. Without it, an answer's body is not read.
	idMark = "{id}"
)

// EndlessAnswers returns ways of bytes without end in each part of an answer.
func EndlessAnswers() []Endless {
	success := platformer.AnswerHead(idMark)
	chunkedHead := success + "Transfer-Encoding: chunked\r\n\r\n"
	block := strings.Repeat("x", endlessBlock)
	many := func(piece string) string { return strings.Repeat(piece, endlessBlock/len(piece)) }
	return []Endless{
		{Name: "noAnswer", Piece: block},
		{Name: "statusLine", Start: "HTTP/1.1 200 ", Piece: block},
		{Name: "oneHeaderLine", Start: success + "X-A: ", Piece: block},
		{Name: "manyHeaderLines", Start: success, Piece: many("X-A: x\r\n")},
		{Name: "longHeaderLines", Start: success, Piece: "X-A: " + block + "\r\n"},
		{Name: "continuedHeaderLine", Start: success + "X-A: x", Piece: many("\r\n x")},
		{Name: "interimAnswers", Piece: many("HTTP/1.1 103 Early Hints\r\n\r\n")},
		{Name: "interimAnswersWithHeaders", Piece: "HTTP/1.1 103 Early Hints\r\nLink: " + block + "\r\n\r\n"},
		{Name: "continueAnswers", Piece: many("HTTP/1.1 100 Continue\r\n\r\n")},
		{Name: "bodyWithoutLength", Start: success + "\r\n", Piece: block},
		{Name: "bodyWithLength", Start: success + "Content-Length: 99999999999\r\n\r\n", Piece: block},
		{Name: "largeChunks", Start: chunkedHead, Piece: "1000\r\n" + block + "\r\n"},
		{Name: "smallChunks", Start: chunkedHead, Piece: many("1\r\nx\r\n")},
		{Name: "oneChunk", Start: chunkedHead + "7fffffffffff\r\n", Piece: block},
		{Name: "chunkSize", Start: chunkedHead, Piece: strings.Repeat("0", endlessBlock)},
		{Name: "chunkExtension", Start: chunkedHead + "1;", Piece: block},
		{Name: "chunkExtensions", Start: chunkedHead, Piece: "1;" + block[:endlessBlock/2] + "\r\nx\r\n"},
		{Name: "oneTrailerLine", Start: chunkedHead + "1\r\nx\r\n0\r\nX-A: ", Piece: block},
		{Name: "manyTrailerLines", Start: chunkedHead + "1\r\nx\r\n0\r\n", Piece: many("X-A: x\r\n")},
		{Name: "bytesAfterTheAnswer", Start: success + "Content-Length: 1\r\n\r\nx", Piece: block, HasAnswer: true},
		{Name: "answersAfterTheAnswer", Start: success + "Content-Length: 1\r\n\r\nx", Piece: many(success + "Content-Length: 1\r\n\r\nx"), HasAnswer: true},
	}
}

// faultyServer answers requests below endlessPath in the way that their path names, and passes
// all others on.
func faultyServer(next http.Handler) http.Handler {
	ways := map[string]Endless{}
	for _, way := range EndlessAnswers() {
		ways[way.Name] = way
	}
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		_, name, _ := strings.Cut(re.URL.Path, endlessPath)
		way, ok := ways[name]
		if !ok {
			next.ServeHTTP(wr, re)
			return
		}
		conn, _, err := wr.(http.Hijacker).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer conn.Close()
		_, err = conn.Write([]byte(strings.ReplaceAll(way.Start, idMark, re.Header.Get("X-Request-Id"))))
		for err == nil {
			_, err = conn.Write([]byte(way.Piece))
		}
	})
}

// SendEndless sends so many requests at once that a faulty server answers in a way, to the
// server beside the entry or, if isBehind is set, to others. It returns the status of each
// response, 0 for none.
func (fl *Fleet) SendEndless(ctx context.Context, way Endless, isBehind bool, requests int) []int {
	path := plainPath
	if isBehind {
		path = keyPath
	}
	client := &http.Client{Transport: receiver.New(&http.Transport{DisableKeepAlives: true})}
	statuses := make([]int, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			rq := platformer.Request{
				ID: fmt.Sprintf("endless-%d", fl.sent.Add(1)), Host: host, Path: path + endlessPath + way.Name,
				Key: uint64(i) * (1 << 16) / uint64(requests), Deadline: endlessDeadline,
			}
			statuses[i] = rq.Send(ctx, client, fl.Entry()).Status
		})
	}
	wg.Wait()
	return statuses
}
