// Package logsvc is the client of the platform's append-only log service. The system uses a log only through Append and
// Read, so an adapter for another log service replaces only this package.
package logsvc

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// StatusError is an answer of the log service other than success. An append that fails with it has not taken effect.
type StatusError struct {
	Stream string
	Status int
}

// Error names the stream and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered %d for stream %q", e.Status, e.Stream)
}

// Record is one entry of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read. First is the oldest offset retained and Next the offset that the next append
// gets; First equals Next when nothing is retained.
type Batch struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
	// Eras are the restorations of the log that the answer tells of, oldest first. EraAge is the time since the newest.
	Eras   []Era         `json:"-"`
	EraAge time.Duration `json:"-"`
}

// Client calls one log service. It is safe for concurrent use.
type Client struct {
	pool *conns.Pool
	host string
	eraState
}

const (
	// connectTimeout bounds the time to open a connection, so that an unreachable service is noticed within a
	// fraction of a lease.
	connectTimeout = 500 * time.Millisecond
	maxAnswerSize  = 64 << 20 // bytes, for all answers that are being read
	pathPrefix     = "/v1/streams/"
)

// New returns a client of the log service at addr.
func New(addr netip.AddrPort) *Client {
	o := conns.Options{AcceptUnframed: true, ConnectTimeout: connectTimeout, Budget: intake.New(maxAnswerSize)}
	return &Client{pool: conns.NewWith(addr, 0, o), host: addr.String()}
}

// Append adds data to the stream and returns its offset. After an error other than *StatusError the append may have
// taken effect. It is refused until the stream is known to have the record of the log's era.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	for {
		era, err := c.checkEntered(stream)
		if err != nil {
			return 0, err
		}
		offset, err := c.appendIn(ctx, stream, era, 0, data)
		if err == nil || c.currentEra() == era {
			return offset, err
		}
	}
}

// AppendAgain appends records that the log has lost, if the first gets its former offset.
func (c *Client) AppendAgain(ctx context.Context, stream string, offset uint64, records [][]byte) error {
	data, err := json.Marshal(records)
	if err != nil {
		return err
	}
	_, err = c.appendIn(ctx, stream, c.currentEra(), offset, data)
	return err
}

// BeginEra appends the record of an era.
func (c *Client) BeginEra(ctx context.Context, stream string, era uint64) error {
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Era{Era: &record.Era{Number: era}}})
	if err != nil {
		return err
	}
	_, err = c.appendIn(ctx, stream, era, 0, data)
	return err
}

// appendIn appends if the log is in an era. With an offset, data is a list of records, of which the first must get that offset.
func (c *Client) appendIn(ctx context.Context, stream string, era, offset uint64, data []byte) (uint64, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer release(req, resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(fmt.Sprintf("%s%s/records?era=%d&at=%d", pathPrefix, stream, era, offset))
	req.SetBody(data)
	if err := c.call(ctx, stream, req, resp); err != nil {
		return 0, err
	}
	var out struct {
		Offset uint64 `json:"offset"`
	}
	if err := json.Unmarshal(resp.Body(), &out); err != nil {
		return 0, err
	}
	if out.Offset == 0 {
		return 0, fmt.Errorf("log service answered an append to stream %q without an offset", stream)
	}
	return out.Offset, nil
}

// Read returns at most limit records of the stream, starting at offset from. If there are none, it waits up to wait for
// the next append; a batch without records is not an error.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (Batch, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer release(req, resp)
	req.SetRequestURI(fmt.Sprintf("%s%s/records?from=%d&wait=%d&max=%d", pathPrefix, stream, from, wait.Milliseconds(), limit))
	var out Batch
	if err := c.call(ctx, stream, req, resp); err != nil {
		return out, err
	}
	out.Eras, out.EraAge = c.noteEras(resp)
	return out, json.Unmarshal(resp.Body(), &out)
}

// defaultTimeout applies to calls whose context has no deadline.
const defaultTimeout = 10 * time.Second

func (c *Client) call(ctx context.Context, stream string, req *fasthttp.Request, resp *fasthttp.Response) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	req.Header.SetHost(c.host)
	if _, err := c.pool.Do(ctx, req, resp, time.Time{}); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return fmt.Errorf("%w: %w", fasthttp.ErrTimeout, err)
		}
		return err
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		c.noteEras(resp)
		return &StatusError{Stream: stream, Status: status}
	}
	return nil
}

func release(req *fasthttp.Request, resp *fasthttp.Response) {
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
}
