package register

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// directCaller maps addresses to acceptors and calls them directly, without a network.
type directCaller map[string]*Acceptor

func (d directCaller) Call(_ context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	acceptor := d[address]
	if acceptor == nil {
		return rpc.ErrUnreachable
	}
	var response rpc.Message
	switch method {
	case rpc.MethodPrepare:
		response = acceptor.Prepare(request.(*tierpb.PrepareRequest))
	case rpc.MethodAccept:
		response = acceptor.Accept(request.(*tierpb.AcceptRequest))
	}
	data := make([]byte, response.SizeVT())
	if _, err := response.MarshalToSizedBufferVT(data); err != nil {
		return err
	}
	return reply.UnmarshalVT(data)
}

func TestChangeSurvivesRestart(t *testing.T) {
	seeds := []string{"10.0.0.1:7380", "10.0.0.2:7380", "10.0.0.3:7380"}
	folders := map[string]string{}
	open := func(bootstrap bool) *Proposer {
		callers := directCaller{}
		for _, seed := range seeds {
			if folders[seed] == "" {
				folders[seed] = t.TempDir()
			}
			acceptor, err := OpenAcceptor(AcceptorOptions{
				Disk: storage.OS{}, Folder: folders[seed], Address: seed, Bootstrap: bootstrap, Seeds: seeds,
			})
			assert.NilError(t, err)
			callers[seed] = acceptor
		}
		return NewProposer(ProposerOptions{Caller: callers, Local: callers[seeds[0]]})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	proposer := open(true)
	chosen, err := proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		current.Configuration = &tierpb.Configuration{Generation: 7, Body: []byte("seven")}
		return current, nil
	})
	assert.NilError(t, err)
	assert.Equal(t, chosen.Version, uint64(1))
	proposer = open(false)
	read, err := proposer.Read(ctx)
	assert.NilError(t, err)
	assert.Equal(t, read.Configuration.Generation, uint64(7))
	assert.Equal(t, string(read.Configuration.Body), "seven")
}
