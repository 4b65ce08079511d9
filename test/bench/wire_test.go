package bench_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/peer/calls"
	"github.com/bramleycove/bramleycove/internal/peer/folds"
	"github.com/bramleycove/bramleycove/internal/peer/relay"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// serve serves the calls of other instances on loopback.
func serve(b *testing.B, h *calls.Handlers) (*counter, netip.AddrPort) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c := &counter{Listener: ln}
	srv := &fasthttp.Server{Handler: h.Handler()}
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(c) })
	b.Cleanup(func() {
		_ = srv.Shutdown()
		wg.Wait()
	})
	return c, ln.Addr().(*net.TCPAddr).AddrPort()
}

// BenchmarkCall measures a call between instances over loopback by the size of its reply: processor time of both
// sides together, and the bytes on the connection with the headers of HTTP.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{15, 4 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprint("reply=", n), func(b *testing.B) {
			in := &peerpb.HeartbeatRequest{Instance: "dk-east-1-07/5f3a77c0", Dc: "dk-east-1", Peer: "10.40.1.5:8081", Term: 4711, Echo: 1, Known: 1 << 40}
			out := &peerpb.StateReply{Place: make([]byte, n)}
			beat := &peerpb.HeartbeatReply{Accepted: true, Term: 4711, Nonce: 99, Lease: 1200, View: 1 << 40}
			count, to := serve(b, &calls.Handlers{
				OnHeartbeat: func(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) { return beat, nil },
				OnState:     func(context.Context) (*peerpb.StateReply, error) { return out, nil },
			})
			client := calls.NewClient()
			defer client.Close()
			begin := cpu()
			for b.Loop() {
				var err error
				if n == 15 {
					_, err = client.Heartbeat(b.Context(), to, in)
				} else {
					_, err = client.State(b.Context(), to)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpu()-begin).Microseconds())/float64(b.N), "cpu-µs/call")
			b.ReportMetric(float64(count.in.Load())/float64(b.N), "B-in/call")
			b.ReportMetric(float64(count.out.Load())/float64(b.N), "B-out/call")
		})
	}
}

// BenchmarkRelay measures what a relay spends on one record by the number of instances that read from it with long
// polls: processor time of both sides together, and bytes sent by the relay.
func BenchmarkRelay(b *testing.B) {
	for _, c := range []struct{ readers, size, slots int }{
		{3, 200, 0},
		{12, 200, 0},
		{43, 200, 0},
		{86, 200, 0},
		{43, 2 << 10, 0},
		{43, 16 << 10, 0},
		{43, 128 << 10, 0},
		{43, 0, 1024},
		{43, 0, 4096},
		{43, 0, 16384},
		{43, 0, 65536},
	} {
		name, data := fmt.Sprintf("readers=%d/record=%d", c.readers, c.size), make([]byte, c.size)
		if c.slots > 0 {
			name, data = fmt.Sprintf("snapshot/readers=%d/slots=%d", c.readers, c.slots), snapshot(b, c.slots)
		}
		b.Run(name, func(b *testing.B) {
			records := make(chan logsvc.Record)
			top := relay.New(0, relay.Config{
				Now: time.Now, Deliver: func(uint64, []byte) {}, Sources: func() []relay.Source { return []relay.Source{source(records)} },
			})
			ctx, stop := context.WithCancel(b.Context())
			var wg conc.WaitGroup
			wg.Go(func() { top.Run(ctx) })
			count, to := serve(b, &calls.Handlers{OnRead: relayed(top)})
			client := calls.NewClient()
			var got atomic.Int64
			for range c.readers {
				wg.Go(func() { follow(ctx, client, to, &got) })
			}
			offset := uint64(0)
			put := func() {
				offset++
				records <- logsvc.Record{Offset: offset, Data: data}
				for got.Load() < int64(offset)*int64(c.readers) {
					time.Sleep(100 * time.Microsecond)
				}
			}
			put()
			sent, begin := count.out.Load(), cpu()
			for b.Loop() {
				put()
			}
			per := float64(b.N) * float64(c.readers)
			b.ReportMetric(float64((cpu()-begin).Microseconds())/per, "cpu-µs/record-reader")
			b.ReportMetric(float64(count.out.Load()-sent)/per, "B/record-reader")
			stop()
			wg.Wait()
			client.Close()
		})
	}
}

// snapshot returns the record of a pool in which neighbouring slots have different owners.
func snapshot(b *testing.B, slots int) []byte {
	pool := &record.Pool{Name: "stock"}
	for i := range uint32(slots) {
		pool.Runs = append(pool.Runs, &record.Run{
			First: i, Last: i, Dc: "dk-east-1", Owner: fmt.Sprintf("server-%02d", i%20), Token: 4 << 16,
		})
	}
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Snapshot{Snapshot: &record.Snapshot{
		Asof: 1, Place: &record.Place{Pools: []*record.Pool{pool}},
	}}})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// source is a log that has the records that arrive on a channel.
func source(records <-chan logsvc.Record) relay.Source {
	return relay.Source{Name: "log", IsLog: true, Read: func(ctx context.Context, from uint64, wait time.Duration, _ int) (logsvc.Batch, error) {
		if wait == 0 {
			// A probe of the end of the stream, whose records would be dropped.
			return logsvc.Batch{First: 1, Next: from}, nil
		}
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		select {
		case rec := <-records:
			return logsvc.Batch{First: 1, Next: rec.Offset + 1, Records: []logsvc.Record{rec}}, nil
		case <-ctx.Done():
			return logsvc.Batch{First: 1, Next: from}, nil
		}
	}}
}

// relayed serves a tail as package folds does.
func relayed(tail *relay.Tail) func(context.Context, *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	return func(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
		in, err := tail.Read(ctx, req.GetFrom(), time.Duration(req.GetWait())*time.Millisecond, int(req.GetMax()))
		if err != nil {
			return nil, err
		}
		reply := &peerpb.ReadReply{First: in.First, Next: in.Next}
		for _, r := range in.Records {
			reply.Entries = append(reply.Entries, &peerpb.Entry{Offset: r.Offset, Data: r.Data})
		}
		return reply, nil
	}
}

// follow is the reading side of one instance.
func follow(ctx context.Context, client *calls.Client, to netip.AddrPort, got *atomic.Int64) {
	tail := relay.New(0, relay.Config{
		Now: time.Now, Deliver: func(uint64, []byte) { got.Add(1) },
		Sources: func() []relay.Source {
			return []relay.Source{{Name: "relay", Read: func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
				reply, err := client.Read(ctx, to, &peerpb.ReadRequest{
					Stream: folds.PlaceStream, From: from, Wait: wait.Milliseconds(), Max: uint32(limit),
				})
				out := logsvc.Batch{First: reply.GetFirst(), Next: reply.GetNext()}
				for _, e := range reply.GetEntries() {
					out.Records = append(out.Records, logsvc.Record{Offset: e.GetOffset(), Data: e.GetData()})
				}
				return out, err
			}}}
		},
	})
	tail.Run(ctx)
}
