// Package broken_test sends the bytes of broken answers to the router over sockets, and judges what its callers get.
package broken_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/edge/entry"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
	"github.com/bramleycove/bramleycove/platform"
)

const timeout = 2 * time.Second

// serverConn is a connection of the stand-in of a backend server.
type serverConn struct {
	*net.TCPConn
	br *bufio.Reader
}

// next reads the head of the next request and returns its id. The body stays unread.
func (c *serverConn) next() (id string, err error) {
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return "", err
	}
	return req.Header.Get("X-Bramleycove-Request-Id"), nil
}

// expand returns text with the request's id for ID and the lines of a signed answer for STAMP.
func expand(text, id string) string {
	text = strings.ReplaceAll(text, "STAMP", "X-Bramleycove-Request-Id: ID\r\nX-Bramleycove-Server-Stamp: s.ID\r\n")
	return strings.ReplaceAll(text, "ID", id)
}

// reply writes text, expanded for the request with that id.
func (c *serverConn) reply(text, id string) { _, _ = c.Write([]byte(expand(text, id))) }

// startServer starts a stand-in that calls handle for each connection and closes it afterwards.
func startServer(t *testing.T, id string, handle func(c *serverConn)) *topo.Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(&serverConn{c.(*net.TCPConn), bufio.NewReader(c)})
			}()
		}
	}()
	return &topo.Server{
		Owner: spans.Owner{Server: id, StartMs: 1}, Pool: "p", Address: netip.MustParseAddrPort(ln.Addr().String()), DC: "a", Slots: 8,
	}
}

// answering returns a handler that gives the answers in turn, and repeats the last one.
func answering(texts ...string) func(*serverConn) {
	return func(c *serverConn) {
		for i := 0; ; i++ {
			id, err := c.next()
			if err != nil {
				return
			}
			c.reply(texts[min(i, len(texts)-1)], id)
		}
	}
}

// startRouter starts the path from callers to servers as an instance has it on the platform, and returns its address. Requests below
// /once/ must not run twice, those below /any/ may.
func startRouter(t *testing.T, keyed bool, servers ...*topo.Server) string {
	t.Helper()
	routes := []tables.Route{
		{Name: "once", Host: "h", Path: "/once/", Pool: "p", Attempts: 2, Target: time.Second, Timeout: timeout, Once: new(tables.OnceRule)},
		{Name: "any", Host: "h", Path: "/any/", Pool: "p", Attempts: 2, Target: time.Second, Timeout: timeout},
	}
	w := &topo.Snapshot{
		Version: 1, Tables: &tables.Tables{Routes: routes, Pools: []tables.Pool{{Name: "p", Keyed: keyed, Connections: 40}}},
		Servers: make(map[string]*topo.Server), Pools: make(map[string][]*topo.Server),
	}
	w.Routes = topo.NewRoutes(w.Tables)
	for _, s := range servers {
		w.Servers[s.Server] = s
		w.Pools["p"] = append(w.Pools["p"], s)
	}
	if keyed {
		w.Owners = map[string]spans.Map{"p": {{First: 0, Last: spans.Last, Owner: servers[0].Owner, Fence: 1}}}
	}
	s := sender.New("i1", sender.Config{
		Location: topo.Location{DC: "a"}, Snapshot: func() (*topo.Snapshot, <-chan struct{}) { return w, make(chan struct{}) },
		InstanceCount: func() int { return 1 }, ConnOptions: platform.ServerConnOptions(intake.Default), RetryRatio: 1, RetrySlack: 100,
		WriteRequest: platform.WriteRequest, ReadReply: platform.ReadAnswer,
	})
	e := entry.New(entry.Config{
		Snapshot: func() *topo.Snapshot { return w }, AwaitStart: func(time.Time) *topo.Snapshot { return w },
		ReadRequest: platform.ReadRequest, WriteAnswer: platform.WriteAnswer, Send: s.Send,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = e.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_ = e.Stop(ctx)
		s.Close()
	})
	return ln.Addr().String()
}

// answer is what a caller got. Status 0 means that it got no whole answer.
type answer struct {
	status int
	header http.Header
	body   string
}

// call sends a request over a connection of its own.
func call(t *testing.T, addr, method, path, id string, body []byte) (a answer) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * timeout))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Bramleycove-Shard-Key: 7\r\nContent-Length: %d\r\n", method, path, len(body))
	if id != "" {
		head += "X-Bramleycove-Request-Id: " + id + "\r\n"
	}
	if _, err := io.Copy(c, io.MultiReader(strings.NewReader(head+"\r\n"), bytes.NewReader(body))); err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return a
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	return answer{resp.StatusCode, resp.Header, string(got)}
}

func lengthOf(body string) string { return strconv.Itoa(len(body)) }

// chunksOf returns body as chunks, without the last one.
func chunksOf(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}
