package sidecar

// Transport is an xDS stream of either variant, state of the world or delta.
type Transport[Request, Response any] interface {
	Send(Request) error
	Recv() (Response, error)
}

// Exchange sends the first requests, then handles each response until the stream ends, and returns the reason. If onOpen
// is not nil, it is called after the first requests are sent. The function handle returns the requests to send for a
// response, starting with its ACK or NACK; beforeReply is called before they are sent in either case.
func Exchange[Request, Response any](stream Transport[Request, Response], first []Request, onOpen func(),
	handle func(Response) ([]Request, error), beforeReply func()) error {
	if err := sendAll(stream, first); err != nil {
		return err
	}
	if onOpen != nil {
		onOpen()
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		requests, err := handle(response)
		if err != nil {
			return err
		}
		beforeReply()
		if err := sendAll(stream, requests); err != nil {
			return err
		}
	}
}

func sendAll[Request, Response any](stream Transport[Request, Response], requests []Request) error {
	for _, request := range requests {
		if err := stream.Send(request); err != nil {
			return err
		}
	}
	return nil
}
